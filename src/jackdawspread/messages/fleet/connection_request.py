"""Request for a member connection."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal


class ConnectionRequest(NamedTuple):
    """Asks the router for a connection to a member.

    Parameters
    ----------
    group : str
        Member group.
    workspace : str
        Workspace on whose behalf the connection is used.
    need : MemberRequirement
        Kind of member.
    member : str
        Id of the member, for a named one.
    max_staleness_s : float
        Age that a read may have, for a fresh member.
    session_position : Position or None
        Newest commit of the session, which a fresh member must hold.
    excluded : frozenset of str
        Members that have just refused or failed.
    priority : int
        0 is the highest.
    expires_at : float
        Monotonic time in seconds until which the request may wait.
    reply_to : trio.MemorySendChannel
        Takes the lease or the refusal.
    """

    group: str
    workspace: str
    need: MemberRequirement
    member: str
    max_staleness_s: float
    session_position: Position | None
    excluded: frozenset[str]
    priority: int
    expires_at: float
    reply_to: MemorySendChannel[MemberLease | Refusal]
