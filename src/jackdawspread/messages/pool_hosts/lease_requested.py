"""Request to a pool host for a member connection."""

from math import inf
from typing import NamedTuple

from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.position import Position


class LeaseRequested(NamedTuple):
    """Asks a pool host to lease one of its member connections.

    Parameters
    ----------
    lease : int
        Id of the lease, unique on the stream.
    group : str
        Member group.
    workspace : str
        Workspace on whose behalf the connection is used.
    requirement : MemberRequirement
        Requirement on the member.
    max_staleness_s : float
        Maximum staleness of a read in seconds if a fresh member is required.
    session_position : Position or None
        Log position of the session's newest commit, which a fresh member must have.
    excluded : frozenset of str
        Ids of members that refused or failed earlier attempts.
    priority : int
        Priority of the request; 0 is the highest.
    wait_s : float
        Seconds for which the request may still wait.
    is_single_statement : bool
        Whether the connection is used for one statement.
    target_s : float
        Seconds up to which the answer is within the latency target of its route.
    caller_domain : str
        Failure domain of the instance to which the caller is connected; empty if the
        placement does not depend on it.
    allowed_regions : frozenset of str
        Regions in which the statement may run; any region if empty.
    """

    lease: int
    group: str
    workspace: str
    requirement: MemberRequirement
    max_staleness_s: float
    session_position: Position | None
    excluded: frozenset[str]
    priority: int
    wait_s: float
    is_single_statement: bool
    target_s: float = inf
    caller_domain: str = ""
    allowed_regions: frozenset[str] = frozenset()
