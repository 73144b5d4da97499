"""Ownership of databases: generations, their confirmation, and terms."""

from typing import Any

from jackdawspread.decisions.control.authority import has_authority
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import (
    AUTHORITY_S,
    OWNERSHIP_CONFIRM_DELAY_S,
    VIEW_SETTLE_S,
)
from jackdawspread.decisions.control.heartbeats import send_to_peers
from jackdawspread.decisions.control.owner_assignments import connection_limit
from jackdawspread.decisions.control.owner_hashing import choose_owners
from jackdawspread.decisions.control.ownership_state import NO_OWNERS, OwnershipState
from jackdawspread.decisions.control.platform_writes import start_write
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.seat_confirmation import SeatConfirmation
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.messages.term_announcement import TermAnnouncement


def database_row_key(database: str) -> str:
    """Return the key of a database's row in the platform's table."""
    return f"database/{database}"


def adopt_ownership(
    state: ControlState, database: str, value: dict[str, Any], now: float
) -> ControlStep:
    """Adopt a newer generation and a newer term from a database's row."""
    ownership = state.ownership_by_database.get(database, NO_OWNERS)
    effects: tuple[Effect, ...] = ()
    if int(value["generation"]) > ownership.generation:
        # An instance that knows no earlier generation uses the previous owners that
        # the row names, so that after a restart it still waits for confirmations.
        earlier = ownership.owners or tuple(value.get("previous", ()))
        limit = connection_limit(state, database) if ownership.owners else 0
        unsettled = (
            set(ownership.previous) | set(earlier) | set(value.get("previous", ()))
        )
        ownership = ownership._replace(
            generation=int(value["generation"]),
            owners=tuple(value["seats"]),
            previous=tuple(sorted(unsettled)),
            confirmed=frozenset(),
            seen_at=now,
            previous_limit=limit,
            is_confirmed_locally=False,
        )
        line = f"control: adopted owners database={database}"
        effects += (ControlLog(f"{line} generation={ownership.generation}"),)
    by_database = {**state.ownership_by_database, database: ownership}
    state = state._replace(ownership_by_database=by_database)
    if value.get("term", 0) <= ownership.term:
        return state, effects
    announcement = TermAnnouncement(database, int(value["term"]), str(value["primary"]))
    state, announced = apply_term_announcement(state, announcement)
    return state, effects + announced


def apply_term_announcement(
    state: ControlState, message: TermAnnouncement
) -> ControlStep:
    """Adopt a newer term and send it to the local owners."""
    ownership = state.ownership_by_database.get(message.database, NO_OWNERS)
    if message.term <= ownership.term:
        return state, ()
    ownership = ownership._replace(term=message.term, primary=message.primary_address)
    by_database = {**state.ownership_by_database, message.database: ownership}
    line = f"control: adopted term database={message.database} term={message.term}"
    return state._replace(ownership_by_database=by_database), (
        message,
        ControlLog(f"{line} primary={message.primary_address}"),
    )


def announce_term(state: ControlState, message: TermAnnouncement) -> ControlStep:
    """Adopt a term that a local owner opened and announce it to the peers."""
    state, effects = apply_term_announcement(state, message)
    own = tuple(e for e in effects if not isinstance(e, TermAnnouncement))
    return state, own + send_to_peers(state, message)


def settle_ownership(state: ControlState, now: float) -> ControlStep:
    """Confirm new generations and settle those that all previous owners confirmed.

    No confirmation is needed from an owner that left the view, once its connections
    must be closed: after its authority has been expired for long enough, or if a
    member of the view uses its address.
    """
    effects: tuple[Effect, ...] = ()
    by_database = dict(state.ownership_by_database)
    is_heartbeat_due = now >= state.next_heartbeat_at
    for database, ownership in state.ownership_by_database.items():
        if (
            not ownership.is_confirmed_locally
            and now >= ownership.seen_at + OWNERSHIP_CONFIRM_DELAY_S
        ):
            confirmed = ownership.confirmed | {state.incarnation}
            ownership = ownership._replace(
                is_confirmed_locally=True, confirmed=confirmed
            )
        waited = {
            name
            for name in ownership.previous
            if not _has_released_connections(state, name, now)
        }
        if waited <= ownership.confirmed:
            ownership = ownership._replace(previous=())
        elif is_heartbeat_due and ownership.is_confirmed_locally:
            effects += send_to_peers(state, _confirmation(state, database, ownership))
        by_database[database] = ownership
    return state._replace(ownership_by_database=by_database), effects


def _has_released_connections(
    state: ControlState, incarnation: str, now: float
) -> bool:
    members = state.view.member_by_incarnation
    if incarnation in members:
        return False
    if now >= state.view_seen_at + AUTHORITY_S + VIEW_SETTLE_S:
        return True
    old = state.address_by_incarnation.get(incarnation)
    return any(member.peer_address == old for member in members.values())


def count_ownership_confirmation(
    state: ControlState, message: SeatConfirmation, address: str
) -> ControlStep:
    """Count the confirmation of another owner and reply with the own one if needed."""
    ownership = state.ownership_by_database.get(message.database, NO_OWNERS)
    if message.generation != ownership.generation:
        return state, ()
    ownership = ownership._replace(
        confirmed=ownership.confirmed | {message.incarnation}
    )
    by_database = {**state.ownership_by_database, message.database: ownership}
    state = state._replace(ownership_by_database=by_database)
    if message.is_settled or not ownership.is_confirmed_locally or ownership.previous:
        return state, ()
    answer = _confirmation(state, message.database, ownership)
    return state, (SendPeerMessage(address, answer),)


def _confirmation(
    state: ControlState, database: str, ownership: OwnershipState
) -> SeatConfirmation:
    return SeatConfirmation(
        state.incarnation, database, ownership.generation, not ownership.previous
    )


def write_ownership(state: ControlState, now: float) -> ControlStep:
    """Write new generations and terms for the databases that this instance owns first.

    A generation is written if the view requires other owners, a term if the row has
    an older one.
    """
    if not has_authority(state, now) or not state.is_platform_up:
        return state, ()
    effects: tuple[Effect, ...] = ()
    for database in state.max_connections_by_database:
        key = database_row_key(database)
        ownership = state.ownership_by_database.get(database, NO_OWNERS)
        desired_owners = choose_owners(state.view, database)
        is_first_owner = bool(desired_owners) and desired_owners[0] == state.incarnation
        if key in state.write_by_key or not is_first_owner:
            continue
        row = state.row_by_key.get(key)
        stored_term = row.value.get("term", 0) if row else 0
        if ownership.owners == desired_owners and ownership.term <= stored_term:
            continue
        value = _row_value(ownership, desired_owners)
        state, written = start_write(state, key, value, now)
        line = f"control: writing owners database={database}"
        effects += (*written, ControlLog(f"{line} generation={value['generation']}"))
    return state, effects


def _row_value(
    ownership: OwnershipState, desired_owners: tuple[str, ...]
) -> dict[str, Any]:
    changed = ownership.owners != desired_owners
    previous = set(ownership.previous) | (set(ownership.owners) if changed else set())
    return {
        "generation": ownership.generation + 1 if changed else ownership.generation,
        "seats": list(desired_owners),
        "previous": sorted(previous),
        "term": ownership.term,
        "primary": ownership.primary,
    }
