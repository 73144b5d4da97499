"""Assignments of an instance as an owner: rank, activity and connection limit."""

from jackdawspread.decisions.control.authority import authority_deadline
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_timing import AUTHORITY_S, OWNER_TAKEOVER_S
from jackdawspread.decisions.control.owner_hashing import owner_connection_limit
from jackdawspread.decisions.control.ownership_state import NO_OWNERS, OwnershipState
from jackdawspread.messages.owner_assignment import OwnerAssignment


def is_live(state: ControlState, incarnation: str, timeout: float, now: float) -> bool:
    """Return whether an incarnation had contact within a time and is not leaving."""
    if incarnation == state.incarnation:
        return not state.is_leaving
    if incarnation in state.leaving_incarnations:
        return False
    last_contact_at = state.last_contact_at_by_incarnation.get(incarnation)
    return last_contact_at is not None and now < last_contact_at + timeout


def owner_assignment(state: ControlState, database: str, now: float) -> OwnerAssignment:
    """Return the assignment of this instance as an owner of a database.

    The owner of rank 1 takes over after 600 ms without contact to the owner before
    it and the owner of rank 2 after 1,200 ms, so that they do not compete for a term
    at the same time.
    """
    ownership = state.ownership_by_database.get(database, NO_OWNERS)
    if state.incarnation not in ownership.owners:
        return OwnerAssignment(database, ownership.generation, -1, False, 0)
    rank = ownership.owners.index(state.incarnation)
    timeout = OWNER_TAKEOVER_S * rank
    is_active = not state.is_leaving and not any(
        is_live(state, name, timeout, now) and may_hold_connections(ownership, name)
        for name in ownership.owners[:rank]
    )
    limit = connection_limit(state, database)
    # The other instances may have removed one whose authority expired. They use its
    # connections after it has had time to close them.
    if now >= authority_deadline(state, now) + AUTHORITY_S:
        is_active, limit = False, 0
    is_active = is_active and may_hold_connections(ownership, state.incarnation)
    return OwnerAssignment(database, ownership.generation, rank, is_active, limit)


def may_hold_connections(ownership: OwnershipState, incarnation: str) -> bool:
    """Return whether an owner may have connections in its generation.

    Until the generation is settled, only previous owners may.
    """
    return not ownership.previous or incarnation in ownership.previous


def connection_limit(state: ControlState, database: str) -> int:
    """Return the limit of connections to one member.

    Until the previous owners have confirmed the generation, a new owner has no
    connections, and the limits of the others do not rise.
    """
    ownership = state.ownership_by_database.get(database, NO_OWNERS)
    connections = state.max_connections_by_database[database]
    limit = owner_connection_limit(ownership.owners, state.incarnation, connections)
    if not ownership.previous:
        return limit
    return min(limit, ownership.previous_limit)


def independent_assignment(
    state: ControlState, database: str, now: float
) -> OwnerAssignment:
    """Return the assignment with an equal share of each member's connections.

    The share is the least over the unsettled views, which keeps the total within
    the limit while instances move from one view to the next.
    """
    assignment = owner_assignment(state, database, now)
    if now >= authority_deadline(state, now) + AUTHORITY_S:
        return assignment
    members_by_view = [view.member_by_incarnation for view in state.views]
    if not members_by_view or not all(
        state.incarnation in view for view in members_by_view
    ):
        return assignment._replace(connection_limit=0)
    connections = state.max_connections_by_database[database]
    limit = min(connections // len(view) for view in members_by_view)
    return assignment._replace(connection_limit=limit)


def owner_addresses(state: ControlState, database: str, now: float) -> tuple[str, ...]:
    """Return the peer addresses of the live owners, the active one first."""
    ownership = state.ownership_by_database.get(database, NO_OWNERS)
    members = state.view.member_by_incarnation
    return tuple(
        members[name].peer_address
        for name in ownership.owners
        if name in members
        and may_hold_connections(ownership, name)
        and is_live(state, name, OWNER_TAKEOVER_S, now)
    )
