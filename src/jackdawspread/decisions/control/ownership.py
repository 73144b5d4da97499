"""Seats at databases: generations, limits of connections and activity."""

from typing import Any

from jackdawspread.decisions.control.authority import has_authority
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import (
    AUTHORITY_S,
    OWNERSHIP_CONFIRM_S,
    SETTLE_S,
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
    """Return the key of a database's row."""
    return f"database/{database}"


def adopt_ownership(
    state: ControlState, database: str, value: dict[str, Any], now: float
) -> ControlStep:
    """Adopt a newer generation and a newer term from a database's row."""
    known = state.ownership_by_database.get(database, NO_OWNERS)
    effects: tuple[Effect, ...] = ()
    if int(value["generation"]) > known.generation:
        # An instance that saw no earlier generation takes the one that the row
        # names, so that a restart does not skip the settling of limits.
        earlier = known.seats or tuple(value.get("previous", ()))
        limit = connection_limit(state, database) if known.seats else 0
        unsettled = set(known.previous) | set(earlier) | set(value.get("previous", ()))
        known = known._replace(
            generation=int(value["generation"]),
            seats=tuple(value["seats"]),
            previous=tuple(sorted(unsettled)),
            confirmed=frozenset(),
            seen_at=now,
            earlier_limit=limit,
            is_confirmed_locally=False,
        )
        line = f"control: adopted seats database={database}"
        effects += (ControlLog(f"{line} generation={known.generation}"),)
    seats = {**state.ownership_by_database, database: known}
    state = state._replace(ownership_by_database=seats)
    if value.get("term", 0) <= known.term:
        return state, effects
    learned = TermAnnouncement(database, int(value["term"]), str(value["primary"]))
    state, announced = apply_term_announcement(state, learned)
    return state, effects + announced


def apply_term_announcement(
    state: ControlState, message: TermAnnouncement
) -> ControlStep:
    """Adopt a newer term and hand it to the owners."""
    known = state.ownership_by_database.get(message.database, NO_OWNERS)
    if message.term <= known.term:
        return state, ()
    known = known._replace(term=message.term, primary=message.primary_address)
    seats = {**state.ownership_by_database, message.database: known}
    line = f"control: learned term database={message.database} term={message.term}"
    return state._replace(ownership_by_database=seats), (
        message,
        ControlLog(f"{line} primary={message.primary_address}"),
    )


def announce_term(state: ControlState, message: TermAnnouncement) -> ControlStep:
    """Adopt the term that our owner opened and tell the peers."""
    state, effects = apply_term_announcement(state, message)
    own = tuple(e for e in effects if not isinstance(e, TermAnnouncement))
    return state, own + send_to_peers(state, message)


def settle_ownership(state: ControlState, now: float) -> ControlStep:
    """Confirm new generations and settle those that all holders confirmed.

    A holder that left the view has closed its connections when its authority
    has lapsed for long enough, and at once when its address has a new owner.
    """
    effects: tuple[Effect, ...] = ()
    seats = dict(state.ownership_by_database)
    is_heartbeat_due = now >= state.next_heartbeat_at
    for database, known in state.ownership_by_database.items():
        if (
            not known.is_confirmed_locally
            and now >= known.seen_at + OWNERSHIP_CONFIRM_S
        ):
            confirmed = known.confirmed | {state.incarnation}
            known = known._replace(is_confirmed_locally=True, confirmed=confirmed)
        waited = {name for name in known.previous if not _is_gone(state, name, now)}
        if waited <= known.confirmed:
            known = known._replace(previous=())
        elif is_heartbeat_due and known.is_confirmed_locally:
            effects += send_to_peers(state, _confirmation(state, database, known))
        seats[database] = known
    return state._replace(ownership_by_database=seats), effects


def _is_gone(state: ControlState, incarnation: str, now: float) -> bool:
    members = state.view.member_by_incarnation
    if incarnation in members:
        return False
    if now >= state.view_seen_at + AUTHORITY_S + SETTLE_S:
        return True
    old = state.address_by_incarnation.get(incarnation)
    return any(member.peer_address == old for member in members.values())


def count_ownership_confirmation(
    state: ControlState, message: SeatConfirmation, address: str
) -> ControlStep:
    """Count the confirmation of another holder and return ours if it waits."""
    known = state.ownership_by_database.get(message.database, NO_OWNERS)
    if message.generation != known.generation:
        return state, ()
    known = known._replace(confirmed=known.confirmed | {message.incarnation})
    seats = {**state.ownership_by_database, message.database: known}
    state = state._replace(ownership_by_database=seats)
    if message.is_settled or not known.is_confirmed_locally or known.previous:
        return state, ()
    answer = _confirmation(state, message.database, known)
    return state, (SendPeerMessage(address, answer),)


def _confirmation(
    state: ControlState, database: str, known: OwnershipState
) -> SeatConfirmation:
    return SeatConfirmation(
        state.incarnation, database, known.generation, not known.previous
    )


def write_ownership(state: ControlState, now: float) -> ControlStep:
    """Write a new generation where the view asks for other holders, or a term."""
    if not has_authority(state, now) or not state.is_platform_up:
        return state, ()
    effects: tuple[Effect, ...] = ()
    for database in state.max_connections_by_database:
        key = database_row_key(database)
        known = state.ownership_by_database.get(database, NO_OWNERS)
        wanted = choose_owners(state.view, database)
        is_ours = bool(wanted) and wanted[0] == state.incarnation
        if key in state.write_by_key or not is_ours:
            continue
        row = state.row_by_key.get(key)
        stored_term = row.value.get("term", 0) if row else 0
        if known.seats == wanted and known.term <= stored_term:
            continue
        value = _row_value(known, wanted)
        state, written = start_write(state, key, value, now)
        line = f"control: wrote seats database={database}"
        effects += (*written, ControlLog(f"{line} generation={value['generation']}"))
    return state, effects


def _row_value(known: OwnershipState, wanted: tuple[str, ...]) -> dict[str, Any]:
    changed = known.seats != wanted
    previous = set(known.previous) | (set(known.seats) if changed else set())
    return {
        "generation": known.generation + 1 if changed else known.generation,
        "seats": list(wanted),
        "previous": sorted(previous),
        "term": known.term,
        "primary": known.primary,
    }
