"""Appending of replicated entries and truncation of conflicting ones."""

from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_state import MemberState


def decide_append(
    state: MemberState, entries: tuple[LogEntry, ...], now: float
) -> MemberState:
    """Append entries that follow a position contained in the log.

    The log is truncated only from the first entry that conflicts.  The applied
    count decreases when applied entries are truncated; the caller then rebuilds the
    tables.
    """
    applied_count = state.applied_count
    for entry in entries:
        index = entry.position.sequence - 1
        if index < len(state.log):
            if state.log[index].position == entry.position:
                continue
            del state.log[index:]
            del state.appended_at[index:]
            applied_count = min(applied_count, index)
        state.log.append(entry)
        state.appended_at.append(now)
    return state._replace(applied_count=applied_count)
