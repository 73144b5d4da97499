"""Datagram with the list of members that another instance has read."""

from typing import NamedTuple

from jackdawspread.messages.fleet.member_listing import MemberListing


class MembersRelayed(NamedTuple):
    """Passes on the list of members.

    Parameters
    ----------
    instance : str
        Id of the instance that has read the list.
    failure_domain : str
        Failure domain of that instance.
    store_time_s : float
        Time of the store's clock at which the list was requested, in seconds.
    listings : tuple of MemberListing
        All members.
    """

    instance: str
    failure_domain: str
    store_time_s: float
    listings: tuple[MemberListing, ...]
