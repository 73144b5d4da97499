"""Query for a member that this instance may reach."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.member_listing import MemberListing


class ReachableMemberQuery(NamedTuple):
    """Asks for the entry of a member in the list of members.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the member.
    reply_to : trio.MemorySendChannel
        Receives the entry; None if the member is not listed, or is the primary and has
        failed since its last answer.
    """

    group: str
    member: str
    reply_to: MemorySendChannel[MemberListing | None]
