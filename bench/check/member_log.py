"""Complete log of one member."""

from typing import Any, NamedTuple

from bench.client.json_call import call_once

PAGE = 5_000


class MemberLog(NamedTuple):
    """Entries in the member's log, and every statement it ran."""

    committed: list[dict[str, Any]]
    executed: list[dict[str, Any]]

    def committed_ids(self) -> list[str]:
        """Return the request ids of the log, in order."""
        return [e["request_id"] for e in self.committed if e["request_id"]]

    def rows(self, records: str) -> list[str]:
        """Return the text parameters of the committed or executed statements."""
        return [
            str(parameter)
            for entry in getattr(self, records)
            for statement in entry["statements"]
            for parameter in statement.get("parameters", ())
        ]


async def read_member_log(address: str) -> MemberLog:
    """Read every page of a member's log.

    Raises
    ------
    OSError
        If the member does not answer or has dropped records.
    """
    log = MemberLog([], [])
    while True:
        body = {
            "committed_offset": len(log.committed),
            "executed_offset": len(log.executed),
            "limit": PAGE,
        }
        status, page = await call_once(address, "POST", "/log", body, timeout=20)
        if status != 200 or page["executed_dropped"]:
            raise OSError(f"log of {address}: status {status}")
        log.committed.extend(page["committed"])
        log.executed.extend(page["executed"])
        if not page["committed"] and not page["executed"]:
            return log
