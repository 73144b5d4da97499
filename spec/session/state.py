"""State of the model of session tokens."""

from typing import NamedTuple

from spec.replicas.entry import Entry
from spec.replicas.member import Member


class State(NamedTuple):
    """Members and the caller's session.

    ``token`` is the (term, sequence) in the caller's token and ``token_term`` the
    term in which it was confirmed; ``written`` is the history up to the caller's
    last acknowledged write; ``stale_read`` records a read served without it.
    """

    members: tuple[Member, ...]
    token: tuple[int, int]
    token_term: int
    written: tuple[Entry, ...]
    stale_read: bool
