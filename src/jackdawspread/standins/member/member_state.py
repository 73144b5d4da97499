"""Replication state of a member."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.role import Role


class MemberState(NamedTuple):
    """Log and terms of a member.

    Parameters
    ----------
    name : str
        Name of the member.
    role : Role
        Primary only from `open` until a higher term is promised.
    term : int
        Term of the last `open` or `follow`.
    promised : int
        Lower terms are refused.
    log : list of LogEntry
        Entry at index i has sequence number i + 1.
    appended_at : list of float
        Monotonic seconds at which each entry was appended.
    applied : int
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
    applied: int
    upstream: str

    @property
    def end(self) -> Position:
        """Position of the last entry held."""
        return self.log[-1].position if self.log else Position(0, 0)

    @property
    def applied_position(self) -> Position:
        """Position of the last entry applied."""
        if self.applied == 0:
            return Position(0, 0)
        return self.log[self.applied - 1].position
