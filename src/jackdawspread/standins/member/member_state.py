"""Replication state of a member."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.role import Role


class MemberState(NamedTuple):
    """Log, terms and role of a member.

    Parameters
    ----------
    name : str
        Name of the member.
    role : Role
        A member is primary only from `/open` until it promises a higher term.
    term : int
        Term of the last `/open` or `/follow`.
    promised : int
        Greatest term promised; requests of lower terms are refused.
    log : list of LogEntry
        Log entries; the one at index i has sequence number i + 1.
    appended_at : list of float
        Monotonic seconds at which each entry was appended.
    applied_count : int
        Number of entries applied to the SQL tables.
    upstream : str
        Address of the primary that a replica follows; empty if none.
    """

    name: str
    role: Role
    term: int
    promised: int
    log: list[LogEntry]
    appended_at: list[float]
    applied_count: int
    upstream: str

    @property
    def last_position(self) -> Position:
        """Position of the last entry in the log."""
        return self.log[-1].position if self.log else Position(0, 0)

    @property
    def applied_position(self) -> Position:
        """Position of the last entry applied to the tables."""
        if self.applied_count == 0:
            return Position(0, 0)
        return self.log[self.applied_count - 1].position
