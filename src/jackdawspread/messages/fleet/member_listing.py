"""Entry of a member in the list of members."""

from typing import NamedTuple


class MemberListing(NamedTuple):
    """What a member says of itself.

    Parameters
    ----------
    id : str
        Id of the member, unique among all groups.
    group : str
        Group to which it belongs.
    address : str
        ``IP:port``.
    failure_domain : str
        Failure domain in which it runs.
    slots : int
        Statements that it runs at a time.
    leaving : bool
        Whether it will shut down soon.
    claims_primary : bool
        Whether it takes itself for the primary.
    """

    id: str
    group: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    claims_primary: bool
