"""Polls of the platform's table and the outcomes of calls to it."""

from jackdawspread.decisions.control import configurations
from jackdawspread.decisions.control.configuration_store import (
    CONFIGURATION_ROW_KEY,
    is_configuration_write_pending,
    store_configuration,
)
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import (
    POLL_INTERVAL_S,
    WRITE_TIMEOUT_S,
)
from jackdawspread.decisions.control.ownership import adopt_ownership, database_row_key
from jackdawspread.decisions.control.pending_call import PendingCall
from jackdawspread.decisions.control.platform_row import PlatformRow
from jackdawspread.decisions.control.platform_write import PlatformWrite
from jackdawspread.decisions.control.platform_writes import (
    ABSENT,
    classify_write,
    decode_rows,
    drop_write,
    known_versions,
    send_write,
)
from jackdawspread.decisions.control.views import adopt_view, decode_views
from jackdawspread.decisions.control.write_outcome import WriteOutcome
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.platform_outcome import PlatformOutcome

OK, CONFLICT = 200, 409


def poll(state: ControlState, now: float) -> ControlStep:
    """Read all needed rows in one call, if a poll is due and none is running."""
    is_running = any(not call.key for call in state.call_by_id.values())
    if now < state.next_poll_at or is_running:
        return state, ()
    keys = [
        "view",
        CONFIGURATION_ROW_KEY,
        *(database_row_key(name) for name in state.max_connections_by_database),
    ]
    call = PlatformCall(state.next_id, "/table/read", {"keys": keys})
    state = state._replace(
        next_id=state.next_id + 1,
        next_poll_at=now + POLL_INTERVAL_S,
        call_by_id={**state.call_by_id, call.id: PendingCall(now)},
    )
    return state, (call,)


def handle_outcome(
    state: ControlState, outcome: PlatformOutcome, now: float
) -> ControlStep:
    """Handle the outcome of a poll or of a write."""
    call = state.call_by_id.get(outcome.id)
    if call is None:
        return state, ()
    calls = {id: c for id, c in state.call_by_id.items() if id != outcome.id}
    state = state._replace(call_by_id=calls)
    if call.key:
        return _handle_write_outcome(state, call.key, outcome, now)
    return _handle_poll_outcome(state, call, outcome, now)


def _handle_poll_outcome(
    state: ControlState, call: PendingCall, outcome: PlatformOutcome, now: float
) -> ControlStep:
    if outcome.status != OK:
        was_up = state.is_platform_up
        state = state._replace(is_platform_up=False)
        state, effects = _report_timed_out_writes(state, now)
        if was_up:
            effects += (
                ControlLog(f"control: platform is down status={outcome.status}"),
            )
        return state, effects
    effects = ()
    if not state.is_platform_up:
        effects = (ControlLog("control: platform is up"),)
    state = state._replace(is_platform_up=True, platform_read_at=call.sent_at)
    rows = decode_rows(outcome.body)
    state, adopted = adopt_rows(state, rows, now)
    view = rows.get("view", ABSENT)
    if view.value.get("epoch", 0) == state.view.epoch:
        state = state._replace(platform_epoch_read_at=call.sent_at)
    state, first = _store_initial_configuration(state, rows, now)
    state, resolved = _resolve_lost_answers(state, call, rows, now)
    return state, effects + adopted + first + resolved


def adopt_rows(
    state: ControlState, rows: dict[str, PlatformRow], now: float
) -> ControlStep:
    """Adopt the rows that are newer than the known ones."""
    effects: tuple[Effect, ...] = ()
    for key, row in rows.items():
        if row.version <= state.row_by_key.get(key, ABSENT).version:
            continue
        state = state._replace(row_by_key={**state.row_by_key, key: row})
        adopted: tuple[Effect, ...] = ()
        if key == "view":
            *earlier, view = decode_views(row.value)
            state, adopted = adopt_view(state, view, now, tuple(earlier))
        elif key == CONFIGURATION_ROW_KEY:
            document = configurations.decode_row(row.value)
            state, adopted = configurations.adopt_configuration(state, document, now)
        elif key.startswith(database_row_key("")):
            name = key.removeprefix(database_row_key(""))
            state, adopted = adopt_ownership(state, name, row.value, now)
        effects += adopted
    return state, effects


def _store_initial_configuration(
    state: ControlState, rows: dict[str, PlatformRow], now: float
) -> ControlStep:
    if (
        CONFIGURATION_ROW_KEY in rows
        or is_configuration_write_pending(state)
        or state.configuration["version"]
    ):
        return state, ()
    return store_configuration(state, state.configuration, now)


def _handle_write_outcome(
    state: ControlState, key: str, outcome: PlatformOutcome, now: float
) -> ControlStep:
    write = state.write_by_key.get(key)
    if write is None:
        return state, ()
    if outcome.status == OK:
        versions = outcome.body.get("versions")
        assert isinstance(versions, dict)
        values = {key: write.value, **write.other_values}
        stored = {k: PlatformRow(int(versions[k]), v) for k, v in values.items()}
        return _handle_stored(state, write, stored, now)
    if outcome.status == CONFLICT:
        # An earlier copy of the write may have caused the conflict, and the response
        # holds only rows that the write expected; the next poll decides it.
        return _read_back(state, write, now)
    # A status from 1 to 499 means that the platform refused the write. Otherwise the
    # write may have taken effect and its response been lost; the next poll decides it.
    may_have_run = outcome.sent and (outcome.status == 0 or outcome.status >= 500)
    write = write._replace(may_have_run=write.may_have_run or may_have_run)
    if not write.may_have_run:
        return _handle_failure(state, write, ExecutionStatus.NOT_RUN, now)
    return _read_back(state, write, now)


def _read_back(state: ControlState, write: PlatformWrite, now: float) -> ControlStep:
    write = write._replace(answer_lost_at=now)
    writes = {**state.write_by_key, write.key: write}
    state = state._replace(write_by_key=writes, next_poll_at=now)
    return state, (ControlLog(f"control: reading back write row={write.key}"),)


def _resolve_lost_answers(
    state: ControlState, call: PendingCall, rows: dict[str, PlatformRow], now: float
) -> ControlStep:
    """Resolve the writes whose answers were lost before the poll was sent."""
    effects: tuple[Effect, ...] = ()
    for write in state.write_by_key.values():
        if write.answer_lost_at is None or call.sent_at < write.answer_lost_at:
            continue
        outcome = classify_write(write, rows.get(write.key, ABSENT))
        if outcome is WriteOutcome.STORED:
            state, more = _handle_stored(state, write, rows, now)
        elif outcome is WriteOutcome.LOST:
            state, more = _handle_conflict(state, write, now)
        elif (
            outcome is WriteOutcome.FORGOTTEN
            or now >= write.started_at + WRITE_TIMEOUT_S
        ):
            state, more = _handle_failure(state, write, ExecutionStatus.UNKNOWN, now)
        else:
            state, more = _resend(state, write, now)
        effects += more
    return state, effects


def _resend(state: ControlState, write: PlatformWrite, now: float) -> ControlStep:
    """Send an undecided write again, with the newest versions of other rows.

    The values that a write stores in other rows are based on their old versions. If
    one of these rows is newer, the write ends with a version conflict instead.
    """
    others = known_versions(state, write.other_versions)
    if others != write.other_versions and write.other_values:
        return _handle_conflict(state, write, now)
    return send_write(state, write._replace(other_versions=others), now)


def _report_timed_out_writes(state: ControlState, now: float) -> ControlStep:
    """Report the writes that could not be read back before their timeout."""
    effects: tuple[Effect, ...] = ()
    for write in state.write_by_key.values():
        if (
            write.answer_lost_at is not None
            and now >= write.started_at + WRITE_TIMEOUT_S
        ):
            state, more = _handle_failure(state, write, ExecutionStatus.UNKNOWN, now)
            effects += more
    return state, effects


def _handle_stored(
    state: ControlState,
    write: PlatformWrite,
    rows: dict[str, PlatformRow],
    now: float,
) -> ControlStep:
    state, effects = adopt_rows(drop_write(state, write.key), rows, now)
    if write.key == CONFIGURATION_ROW_KEY:
        state, more = configurations.handle_stored_write(state, write, now)
        effects += more
    return state, effects


def _handle_conflict(
    state: ControlState, write: PlatformWrite, now: float
) -> ControlStep:
    state = drop_write(state, write.key)
    if write.key == CONFIGURATION_ROW_KEY:
        return configurations.handle_lost_race(state, write, now)
    return state, (ControlLog(f"control: version conflict row={write.key}"),)


def _handle_failure(
    state: ControlState, write: PlatformWrite, ran: ExecutionStatus, now: float
) -> ControlStep:
    state = drop_write(state, write.key)
    if write.key == CONFIGURATION_ROW_KEY:
        return configurations.handle_failed_write(state, write, ran, now)
    return state, (ControlLog(f"control: abandoned write row={write.key} ran={ran}"),)
