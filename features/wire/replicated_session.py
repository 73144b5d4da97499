"""Connection to a stand-in member that has a log of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from features.wire.replicated_member import ReplicatedMember

SIGNATURE = "7.1f3.c"
LOG_COMMANDS = ("STATUS", "PAUSE", "RESUME", "DEMOTE")


class ReplicatedSession:
    """Answers the lines of one connection."""

    def __init__(self, member: ReplicatedMember) -> None:
        self._member = member
        self._group = member.group
        self._phase = "I"
        # Term of the lead that a plain transaction relies on; 0 outside of one.
        self._term = 0
        self._ids: tuple[str, ...] = ()
        self._writes: dict[str, str] = {}
        self._position = ""
        self.is_over = False

    async def answer(self, line: str) -> list[str]:
        """Return the lines of an answer; none if the connection ends without one."""
        word, _, rest = line.partition(" ")
        self._position = ""
        if word == "START":
            if rest.split(" ")[2:] != [self._member.id]:
                self.is_over = True
                return ["ERR MISROUTED wrong id\r\n"]
            return [self._ready()]
        id, _, text = rest.partition(" ")
        if text.startswith("AFTER "):
            position, _, text = text[6:].partition(" ")
            term, _, number = position.partition(".")
            if (int(term), int(number)) > self._member.log.end:
                return ["ERR LAGGING not received\r\n", self._ready()]
        result = await self._run(id, text)
        return [] if self.is_over else [*result, self._ready()]

    def _ready(self) -> str:
        position = self._position or "{}.{}".format(*self._member.log.end)
        return f"READY {self._phase} {position}\r\n"

    async def _run(self, id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word in LOG_COMMANDS:
            return self._run_log_command(word, rest)
        may_end = word == "ROLLBACK" or (word == "COMMIT" and not self._writes)
        if self._term and not may_end and not self._has_lead():
            self._phase = "E"
            return ["ERR READONLY no longer the primary\r\n"]
        if word == "BEGIN":
            if rest != "READ" and not self._member.is_primary:
                return ["ERR READONLY not the primary\r\n"]
            self._phase = "T"
            self._term = 0 if rest == "READ" else self._group.term
        elif word == "ROLLBACK":
            self._end()
        elif word == "READ":
            value = {**self._member.log.item_by_name, **self._writes}.get(rest, "none")
            return [f"ROW {value}\r\n", f"DONE {SIGNATURE}\r\n"]
        elif word == "WRITE":
            if not self._member.is_primary:
                return ["ERR READONLY not the primary\r\n"]
            item, _, data = rest.partition(" ")
            self._writes[item], self._ids = data, (*self._ids, id)
            if not self._term:
                return await self._commit()
        elif word == "COMMIT":
            return await self._commit()
        return [f"DONE {SIGNATURE}\r\n"]

    async def _commit(self) -> list[str]:
        ids, writes = self._ids, self._writes
        self._end()
        if writes:
            position = await self._member.commit(ids, writes)
            if position is None:
                # The outcome is unknown to a member that has lost the lead.
                self.is_over = True
                return []
            self._position = position
        return [f"DONE {SIGNATURE}\r\n"]

    def _run_log_command(self, word: str, rest: str) -> list[str]:
        member = self._member
        if word == "PAUSE":
            member.pause(int(rest))
        elif word == "RESUME":
            member.resume()
        elif word == "DEMOTE":
            self._group.demote(member, int(rest))
        role = "primary" if member.is_primary else "replica"
        position = "{}.{}".format(*member.log.end)
        term, paused, count = self._group.term, member.paused_term, member.connections
        return [f"ROW {role} {term} {position} {paused} 0 0 {count}\r\n", "DONE -\r\n"]

    def _has_lead(self) -> bool:
        return self._member.is_primary and self._group.term == self._term

    def _end(self) -> None:
        self._phase, self._term = "I", 0
        self._ids, self._writes = (), {}
