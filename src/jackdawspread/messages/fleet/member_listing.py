"""Entry of a member in the list of members."""

from typing import NamedTuple


class MemberListing(NamedTuple):
    """Describes a member as it has registered itself.

    Parameters
    ----------
    id : str
        Id of the member, unique among all groups.
    group : str
        Group to which it belongs.
    address : str
        ``IP:port`` at which the member accepts connections.
    failure_domain : str
        Failure domain in which it runs.
    slots : int
        Number of statements that the member runs concurrently.
    leaving : bool
        Whether the member will shut down soon.
    claims_primary : bool
        Whether the member claims to be the primary.
    cold_remaining_s : float
        Seconds for which the member stayed slow after its start when it wrote its
        entry.
    started_at_ms : int
        Unix time in milliseconds at which the member started; 0 unless it was slow
        when it wrote its entry.
    """

    id: str
    group: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    claims_primary: bool
    cold_remaining_s: float = 0.0
    started_at_ms: int = 0
