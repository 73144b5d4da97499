"""What the seat of an instance allows it to do."""

from jackdawspread.decisions.control.authority import authority_deadline
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_timing import AUTHORITY_S, OWNER_TAKEOVER_S
from jackdawspread.decisions.control.owner_hashing import owner_connection_limit
from jackdawspread.decisions.control.ownership_state import NO_OWNERS, OwnershipState
from jackdawspread.messages.owner_assignment import OwnerAssignment


def is_live(state: ControlState, incarnation: str, silence: float, now: float) -> bool:
    """Whether an incarnation was heard within a time and is not stopping."""
    if incarnation == state.incarnation:
        return not state.is_leaving
    if incarnation in state.leaving_incarnations:
        return False
    heard_at = state.last_contact_at_by_incarnation.get(incarnation)
    return heard_at is not None and now < heard_at + silence


def owner_assignment(state: ControlState, database: str, now: float) -> OwnerAssignment:
    """Return the seat of this instance at a database.

    Seat 1 takes over after 600 ms of silence and seat 2 after 1,200 ms, so that
    they do not compete for the same term at once.
    """
    known = state.ownership_by_database.get(database, NO_OWNERS)
    if state.incarnation not in known.seats:
        return OwnerAssignment(database, known.generation, -1, False, 0)
    rank = known.seats.index(state.incarnation)
    silence = OWNER_TAKEOVER_S * rank
    is_active = not state.is_leaving and not any(
        is_live(state, name, silence, now) and is_usable(known, name)
        for name in known.seats[:rank]
    )
    limit = connection_limit(state, database)
    # Others may have removed an instance whose authority lapsed, and divide its
    # connections once it has had time to close them.
    if now >= authority_deadline(state, now) + AUTHORITY_S:
        is_active, limit = False, 0
    is_active = is_active and is_usable(known, state.incarnation)
    return OwnerAssignment(database, known.generation, rank, is_active, limit)


def is_usable(known: OwnershipState, incarnation: str) -> bool:
    """Whether a holder may have connections before the generation is settled."""
    return not known.previous or incarnation in known.previous


def connection_limit(state: ControlState, database: str) -> int:
    """Return the limit of connections to one member.

    Until the earlier holders have confirmed the generation, a holder that had no
    seat has none of the budget, and others have no more than before.
    """
    known = state.ownership_by_database.get(database, NO_OWNERS)
    connections = state.max_connections_by_database[database]
    limit = owner_connection_limit(known.seats, state.incarnation, connections)
    if not known.previous:
        return limit
    return min(limit, known.earlier_limit)


def independent_assignment(
    state: ControlState, database: str, now: float
) -> OwnerAssignment:
    """Return the seat with an equal share of each member's connections.

    The least share over the unsettled views keeps the sum within the budget while
    instances move from one view to the next.
    """
    assignment = owner_assignment(state, database, now)
    if now >= authority_deadline(state, now) + AUTHORITY_S:
        return assignment
    members = [view.member_by_incarnation for view in state.views]
    if not members or not all(state.incarnation in known for known in members):
        return assignment._replace(connection_limit=0)
    connections = state.max_connections_by_database[database]
    limit = min(connections // len(known) for known in members)
    return assignment._replace(connection_limit=limit)


def owner_addresses(state: ControlState, database: str, now: float) -> tuple[str, ...]:
    """Return the peer addresses of the live seat holders, first the active one."""
    known = state.ownership_by_database.get(database, NO_OWNERS)
    members = state.view.member_by_incarnation
    return tuple(
        members[name].peer_address
        for name in known.seats
        if name in members
        and is_usable(known, name)
        and is_live(state, name, OWNER_TAKEOVER_S, now)
    )
