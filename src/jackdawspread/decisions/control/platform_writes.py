"""Compare-and-set writes to the platform's table and their outcomes."""

from collections.abc import Iterable
from typing import Any

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep
from jackdawspread.decisions.control.pending_call import PendingCall
from jackdawspread.decisions.control.platform_row import PlatformRow
from jackdawspread.decisions.control.platform_write import PlatformWrite
from jackdawspread.decisions.control.write_outcome import WriteOutcome
from jackdawspread.messages.platform_call import PlatformCall

ABSENT = PlatformRow(0, {})


def next_write_id(state: ControlState) -> str:
    """Return the id of the next write, unique among all instances."""
    return f"{state.incarnation}-{state.next_id}"


def start_write(
    state: ControlState,
    key: str,
    value: dict[str, Any],
    now: float,
    admin_request_id: str = "",
    others: tuple[str, ...] = (),
    other_values: dict[str, dict[str, Any]] | None = None,
) -> ControlStep:
    """Start a write of a row that expects its newest known version.

    The write also expects the newest known versions of the rows ``others``.
    """
    row = state.row_by_key.get(key, ABSENT)
    write_id = next_write_id(state)
    value = {**value, "write_id": write_id}
    write = PlatformWrite(
        write_id,
        key,
        row.version,
        value,
        now,
        admin_request_id=admin_request_id,
        other_versions=known_versions(state, others),
        other_values=other_values or {},
    )
    return send_write(state, write, now)


def known_versions(state: ControlState, keys: Iterable[str]) -> dict[str, int]:
    """Return the newest known versions of rows."""
    return {key: state.row_by_key.get(key, ABSENT).version for key in keys}


def send_write(state: ControlState, write: PlatformWrite, now: float) -> ControlStep:
    """Send a write for the first time, or again with the same id and version."""
    body: dict[str, object] = {
        "expect": {write.key: write.expected_version, **write.other_versions},
        "put": {write.key: write.value, **write.other_values},
    }
    call = PlatformCall(state.next_id, "/table/transact", body)
    write = write._replace(answer_lost_at=None)
    state = state._replace(
        next_id=state.next_id + 1,
        call_by_id={**state.call_by_id, call.id: PendingCall(now, write.key)},
        write_by_key={**state.write_by_key, write.key: write},
    )
    return state, (call,)


def drop_write(state: ControlState, key: str) -> ControlState:
    """Remove a write whose outcome is known or has been reported."""
    writes = {k: w for k, w in state.write_by_key.items() if k != key}
    return state._replace(write_by_key=writes)


def classify_write(write: PlatformWrite, row: PlatformRow) -> WriteOutcome:
    """Classify a write by the write id of the version after the expected one."""
    if row.version <= write.expected_version:
        return WriteOutcome.UNDECIDED
    # Row versions count the writes of the whole table, so the index into the recent
    # write ids is computed from the versions of the documents.
    ids, later = [row.value.get("write_id")], 0
    if "recent_write_ids" in row.value:
        ids = row.value["recent_write_ids"]
        later = row.value["version"] - write.value["version"]
    if later >= len(ids):
        return WriteOutcome.FORGOTTEN
    is_own_write = ids[-1 - later] == write.write_id
    return WriteOutcome.STORED if is_own_write else WriteOutcome.LOST


def decode_rows(body: dict[str, Any]) -> dict[str, PlatformRow]:
    """Return the rows of a response of the platform, by key."""
    return {
        key: PlatformRow(int(row["version"]), row.get("value") or {})
        for key, row in body.get("rows", {}).items()
        if row
    }
