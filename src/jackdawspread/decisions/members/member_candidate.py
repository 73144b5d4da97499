"""Member that may serve a read."""

from typing import NamedTuple


class MemberCandidate(NamedTuple):
    """Properties of a member from which one is chosen for a read.

    Parameters
    ----------
    id : str
        Id of the member.
    in_use : int
        Number of leased connections and of requests that wait for one.
    slots : int
        Number of statements that the member runs at the same time.
    has_idle : bool
        Whether the workspace has an idle connection to the member.
    can_open : bool
        Whether a connection can be leased or opened without waiting.
    is_same_domain : bool
        Whether the member is in the failure domain of this instance.
    is_primary : bool
        Whether the member is treated as the primary.
    lag_refusals : int
        Number of recent refusals because the member lacked a required position.
    """

    id: str
    in_use: int
    slots: int
    has_idle: bool
    can_open: bool
    is_same_domain: bool
    is_primary: bool
    lag_refusals: int
