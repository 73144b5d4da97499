"""Request for a member connection."""

from math import inf
from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.departure import Departure
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal


class ConnectionRequest(NamedTuple):
    """Asks the member router for a connection.

    Parameters
    ----------
    group : str
        Member group.
    workspace : str
        Workspace on whose behalf the connection is used.
    requirement : MemberRequirement
        Requirement on the member.
    member : str
        Id of the member if a named one is required; otherwise empty.
    max_staleness_s : float
        Maximum staleness of a read in seconds if a fresh member is required.
    session_position : Position or None
        Log position of the session's newest commit, which a fresh member must have.
    excluded : frozenset of str
        Ids of members that refused or failed earlier attempts.
    priority : int
        Priority of the request; 0 is the highest.
    expires_at : float
        Monotonic time in seconds until which the request may wait.
    is_single_statement : bool
        Whether the connection is used for one statement, which occupies a slot of the
        member all the time, and not for a transaction or a command about the log.
    reply_to : trio.MemorySendChannel
        Receives the lease or the refusal.
    target_at : float
        Monotonic time in seconds up to which the answer is within the latency target
        of its route.
    caller_domain : str
        Failure domain of the instance to which the caller is connected; empty if the
        placement does not depend on it.
    allowed_regions : frozenset of str
        Regions in which the statement may run; any region if empty.
    departure : Departure
        Whether the statement may be served in another failure domain.
    unlisted : MemberListing or None
        Entry of the named member, if it may have left the list.
    """

    group: str
    workspace: str
    requirement: MemberRequirement
    member: str
    max_staleness_s: float
    session_position: Position | None
    excluded: frozenset[str]
    priority: int
    expires_at: float
    is_single_statement: bool
    reply_to: MemorySendChannel[MemberLease | Refusal]
    target_at: float = inf
    caller_domain: str = ""
    allowed_regions: frozenset[str] = frozenset()
    departure: Departure = Departure.STAY
    unlisted: MemberListing | None = None
