"""Member as seen by the choice of a connection."""

from typing import NamedTuple


class MemberCandidate(NamedTuple):
    """What the choice of a member depends on.

    Parameters
    ----------
    id : str
        Id of the member.
    in_use : int
        Connections of this instance that carry an operation.
    slots : int
        Statements that the member runs at a time.
    has_idle : bool
        Whether an idle connection of the workspace exists.
    can_open : bool
        Whether another connection may be used or opened at once.
    near : bool
        Whether it runs in the failure domain of this instance.
    leads : bool
        Whether it is taken for the primary.
    lag_refusals : int
        Recent refusals for lack of the position that was asked for.
    """

    id: str
    in_use: int
    slots: int
    has_idle: bool
    can_open: bool
    near: bool
    leads: bool
    lag_refusals: int
