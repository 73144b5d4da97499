"""Appending of replicated entries and truncation of a diverged tail."""

from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_state import MemberState


def decide_append(
    state: MemberState, entries: tuple[LogEntry, ...], now: float
) -> MemberState:
    """Append entries that follow a position contained in the log.

    The tail is dropped only from the first entry that conflicts.  The applied count
    falls when applied entries are dropped; the caller then rebuilds the tables.
    """
    applied = state.applied
    for entry in entries:
        index = entry.position.sequence - 1
        if index < len(state.log):
            if state.log[index].position == entry.position:
                continue
            del state.log[index:]
            del state.appended_at[index:]
            applied = min(applied, index)
        state.log.append(entry)
        state.appended_at.append(now)
    return state._replace(applied=applied)
