"""Seats at databases: generations, limits of connections and activity."""

from typing import Any

from jackdawspread.decisions.control.authority import has_authority
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import (
    AUTHORITY_S,
    SEAT_CONFIRM_S,
    SETTLE_S,
)
from jackdawspread.decisions.control.heartbeats import to_peers
from jackdawspread.decisions.control.platform_writes import start_write
from jackdawspread.decisions.control.seat_hashing import choose_seats
from jackdawspread.decisions.control.seat_roles import connection_limit
from jackdawspread.decisions.control.seat_state import NO_SEATS, SeatState
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.peer_send import PeerSend
from jackdawspread.messages.seat_confirmation import SeatConfirmation
from jackdawspread.messages.term_announcement import TermAnnouncement


def row_key(database: str) -> str:
    """Return the key of a database's row."""
    return f"database/{database}"


def adopt_seats(
    state: ControlState, database: str, value: dict[str, Any], now: float
) -> ControlStep:
    """Adopt a newer generation and a newer term from a database's row."""
    known = state.seat_by_database.get(database, NO_SEATS)
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
            is_confirmed_by_us=False,
        )
        line = f"control: adopted seats database={database}"
        effects += (ControlLog(f"{line} generation={known.generation}"),)
    seats = {**state.seat_by_database, database: known}
    state = state._replace(seat_by_database=seats)
    if value.get("term", 0) <= known.term:
        return state, effects
    learned = TermAnnouncement(database, int(value["term"]), str(value["primary"]))
    state, announced = learn_term(state, learned)
    return state, effects + announced


def learn_term(state: ControlState, message: TermAnnouncement) -> ControlStep:
    """Adopt a newer term and hand it to the owners."""
    known = state.seat_by_database.get(message.database, NO_SEATS)
    if message.term <= known.term:
        return state, ()
    known = known._replace(term=message.term, primary=message.primary_address)
    seats = {**state.seat_by_database, message.database: known}
    line = f"control: learned term database={message.database} term={message.term}"
    return state._replace(seat_by_database=seats), (
        message,
        ControlLog(f"{line} primary={message.primary_address}"),
    )


def announce_term(state: ControlState, message: TermAnnouncement) -> ControlStep:
    """Adopt the term that our owner opened and tell the peers."""
    state, effects = learn_term(state, message)
    own = tuple(e for e in effects if not isinstance(e, TermAnnouncement))
    return state, own + to_peers(state, message)


def settle_seats(state: ControlState, now: float) -> ControlStep:
    """Confirm new generations and settle those that all holders confirmed.

    A holder that left the view has closed its connections when its authority
    has lapsed for long enough, and at once when its address has a new owner.
    """
    effects: tuple[Effect, ...] = ()
    seats = dict(state.seat_by_database)
    is_heartbeat_due = now >= state.next_heartbeat_at
    for database, known in state.seat_by_database.items():
        if not known.is_confirmed_by_us and now >= known.seen_at + SEAT_CONFIRM_S:
            confirmed = known.confirmed | {state.incarnation}
            known = known._replace(is_confirmed_by_us=True, confirmed=confirmed)
        waited = {name for name in known.previous if not _is_gone(state, name, now)}
        if waited <= known.confirmed:
            known = known._replace(previous=())
        elif is_heartbeat_due and known.is_confirmed_by_us:
            effects += to_peers(state, _confirmation(state, database, known))
        seats[database] = known
    return state._replace(seat_by_database=seats), effects


def _is_gone(state: ControlState, incarnation: str, now: float) -> bool:
    members = state.view.member_by_incarnation
    if incarnation in members:
        return False
    if now >= state.view_seen_at + AUTHORITY_S + SETTLE_S:
        return True
    old = state.address_by_incarnation.get(incarnation)
    return any(member.peer_address == old for member in members.values())


def confirm_seat(
    state: ControlState, message: SeatConfirmation, address: str
) -> ControlStep:
    """Count the confirmation of another holder and return ours if it waits."""
    known = state.seat_by_database.get(message.database, NO_SEATS)
    if message.generation != known.generation:
        return state, ()
    known = known._replace(confirmed=known.confirmed | {message.incarnation})
    seats = {**state.seat_by_database, message.database: known}
    state = state._replace(seat_by_database=seats)
    if message.is_settled or not known.is_confirmed_by_us or known.previous:
        return state, ()
    answer = _confirmation(state, message.database, known)
    return state, (PeerSend(address, answer),)


def _confirmation(
    state: ControlState, database: str, known: SeatState
) -> SeatConfirmation:
    return SeatConfirmation(
        state.incarnation, database, known.generation, not known.previous
    )


def write_seats(state: ControlState, now: float) -> ControlStep:
    """Write a new generation where the view asks for other holders, or a term."""
    if not has_authority(state, now) or not state.is_platform_up:
        return state, ()
    effects: tuple[Effect, ...] = ()
    for database in state.connections_by_database:
        key = row_key(database)
        known = state.seat_by_database.get(database, NO_SEATS)
        wanted = choose_seats(state.view, database)
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


def _row_value(known: SeatState, wanted: tuple[str, ...]) -> dict[str, Any]:
    changed = known.seats != wanted
    previous = set(known.previous) | (set(known.seats) if changed else set())
    return {
        "generation": known.generation + 1 if changed else known.generation,
        "seats": list(wanted),
        "previous": sorted(previous),
        "term": known.term,
        "primary": known.primary,
    }
