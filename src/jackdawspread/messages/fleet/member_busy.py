"""Report that a member had no room for a statement."""

from typing import NamedTuple


class MemberBusy(NamedTuple):
    """A member refused a statement because its queue was full."""

    group: str
    member: str
    at: float
