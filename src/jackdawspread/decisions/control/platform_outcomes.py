"""Polls of the platform and the outcomes of calls to it."""

from jackdawspread.decisions.control import configurations
from jackdawspread.decisions.control.configuration_store import (
    KEY,
    is_configuration_write_pending,
    store,
)
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import POLL_S, WRITE_S
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
        KEY,
        *(database_row_key(name) for name in state.max_connections_by_database),
    ]
    call = PlatformCall(state.next_id, "/table/read", {"keys": keys})
    state = state._replace(
        next_id=state.next_id + 1,
        next_poll_at=now + POLL_S,
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
        return _take_write(state, call.key, outcome, now)
    return _take_poll(state, call, outcome, now)


def _take_poll(
    state: ControlState, call: PendingCall, outcome: PlatformOutcome, now: float
) -> ControlStep:
    if outcome.status != OK:
        was_up = state.is_platform_up
        state = state._replace(is_platform_up=False)
        state, effects = _give_up(state, now)
        if was_up:
            effects += (
                ControlLog(f"control: platform is down status={outcome.status}"),
            )
        return state, effects
    effects = ()
    if not state.is_platform_up:
        effects = (ControlLog("control: platform answers"),)
    state = state._replace(is_platform_up=True, platform_read_at=call.asked_at)
    rows = decode_rows(outcome.body)
    state, adopted = adopt_rows(state, rows, now)
    view = rows.get("view", ABSENT)
    if view.value.get("epoch", 0) == state.view.epoch:
        state = state._replace(platform_epoch_read_at=call.asked_at)
    state, first = _store_first(state, rows, now)
    state, resolved = _resolve(state, call, rows, now)
    return state, effects + adopted + first + resolved


def adopt_rows(
    state: ControlState, rows: dict[str, PlatformRow], now: float
) -> ControlStep:
    """Adopt the rows that are newer than those known."""
    effects: tuple[Effect, ...] = ()
    for key, row in rows.items():
        if row.version <= state.row_by_key.get(key, ABSENT).version:
            continue
        state = state._replace(row_by_key={**state.row_by_key, key: row})
        adopted: tuple[Effect, ...] = ()
        if key == "view":
            *earlier, view = decode_views(row.value)
            state, adopted = adopt_view(state, view, now, tuple(earlier))
        elif key == KEY:
            document = configurations.decode(row.value)
            state, adopted = configurations.adopt_configuration(state, document, now)
        elif key.startswith(database_row_key("")):
            name = key.removeprefix(database_row_key(""))
            state, adopted = adopt_ownership(state, name, row.value, now)
        effects += adopted
    return state, effects


def _store_first(
    state: ControlState, rows: dict[str, PlatformRow], now: float
) -> ControlStep:
    if (
        KEY in rows
        or is_configuration_write_pending(state)
        or state.configuration["version"]
    ):
        return state, ()
    return store(state, state.configuration, now)


def _take_write(
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
        return _succeed(state, write, stored, now)
    if outcome.status == CONFLICT:
        # An earlier copy of the write may have caused the conflict, and the rows
        # of the answer hold only what the write expected; a poll decides it.
        return _read_back(state, write, now)
    # Below 500 the platform refused the write; otherwise its answer may be lost
    # after the write took effect, and a poll reads it back.
    may_have_run = outcome.sent and (outcome.status == 0 or outcome.status >= 500)
    write = write._replace(may_have_run=write.may_have_run or may_have_run)
    if not write.may_have_run:
        return _fail(state, write, ExecutionStatus.NOT_RUN, now)
    return _read_back(state, write, now)


def _read_back(state: ControlState, write: PlatformWrite, now: float) -> ControlStep:
    write = write._replace(answer_lost_at=now)
    writes = {**state.write_by_key, write.key: write}
    state = state._replace(write_by_key=writes, next_poll_at=now)
    return state, (ControlLog(f"control: reads back write row={write.key}"),)


def _resolve(
    state: ControlState, call: PendingCall, rows: dict[str, PlatformRow], now: float
) -> ControlStep:
    """Resolve the writes without a clear answer before the poll was asked."""
    effects: tuple[Effect, ...] = ()
    for write in state.write_by_key.values():
        if write.answer_lost_at is None or call.asked_at < write.answer_lost_at:
            continue
        outcome = classify_write(write, rows.get(write.key, ABSENT))
        if outcome is WriteOutcome.STORED:
            state, more = _succeed(state, write, rows, now)
        elif outcome is WriteOutcome.LOST:
            state, more = _lose(state, write, now)
        elif outcome is WriteOutcome.FORGOTTEN or now >= write.started_at + WRITE_S:
            state, more = _fail(state, write, ExecutionStatus.UNKNOWN, now)
        else:
            state, more = _repeat(state, write, now)
        effects += more
    return state, effects


def _repeat(state: ControlState, write: PlatformWrite, now: float) -> ControlStep:
    """Send an undecided write again, against the newest versions of other rows.

    What a write stores in other rows was made from their old versions, so a newer
    one ends it; its first row then has a new write made.
    """
    others = known_versions(state, write.other_versions)
    if others != write.other_versions and write.other_values:
        return _lose(state, write, now)
    return send_write(state, write._replace(other_versions=others), now)


def _give_up(state: ControlState, now: float) -> ControlStep:
    """Report the writes that could not be read back in time."""
    effects: tuple[Effect, ...] = ()
    for write in state.write_by_key.values():
        if write.answer_lost_at is not None and now >= write.started_at + WRITE_S:
            state, more = _fail(state, write, ExecutionStatus.UNKNOWN, now)
            effects += more
    return state, effects


def _succeed(
    state: ControlState,
    write: PlatformWrite,
    rows: dict[str, PlatformRow],
    now: float,
) -> ControlStep:
    state, effects = adopt_rows(drop_write(state, write.key), rows, now)
    if write.key == KEY:
        state, more = configurations.stored(state, write, now)
        effects += more
    return state, effects


def _lose(state: ControlState, write: PlatformWrite, now: float) -> ControlStep:
    state = drop_write(state, write.key)
    if write.key == KEY:
        return configurations.lost(state, write, now)
    return state, (ControlLog(f"control: lost race row={write.key}"),)


def _fail(
    state: ControlState, write: PlatformWrite, ran: ExecutionStatus, now: float
) -> ControlStep:
    state = drop_write(state, write.key)
    if write.key == KEY:
        return configurations.failed(state, write, ran, now)
    return state, (ControlLog(f"control: gave up write row={write.key} ran={ran}"),)
