"""Adoption of newer configurations and storing of operators' changes."""

from typing import cast

from jackdawspread.decisions.control.configuration_changes import (
    apply_change,
    commutes,
    refuse,
)
from jackdawspread.decisions.control.configuration_store import (
    is_configuration_row_current,
    is_configuration_write_pending,
    store_configuration,
)
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.heartbeats import send_to_peers
from jackdawspread.decisions.control.platform_write import PlatformWrite
from jackdawspread.decisions.control.withdrawals import answer_withdrawals
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.configuration_change import ConfigurationChange
from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.set_leaving import SetLeaving

MAX_QUEUED_CHANGES = 100


def decode_row(value: dict[str, object]) -> ConfigurationDocument:
    """Return the configuration document that a row of the platform holds."""
    return cast(ConfigurationDocument, value)


def adopt_configuration(
    state: ControlState, document: ConfigurationDocument, now: float
) -> ControlStep:
    """Adopt a configuration if its version is greater than the current one."""
    if document["version"] <= state.configuration["version"]:
        return state, ()
    state = state._replace(configuration=document)
    line = f"control: adopted configuration version={document['version']}"
    state, answered = answer_withdrawals(state, now)
    log = ControlLog(f"{line} preset={document['preset']}")
    return state, (log, *answered)


def queue_change(state: ControlState, request: AdminChange, now: float) -> ControlStep:
    """Queue an operator's change, or refuse it if it cannot be stored now."""
    unknown = _unknown_databases(state, request.change)
    if unknown:
        detail = f"no database {unknown[0]} in the settings of this instance"
        return state, _result(request, refuse("unknown_database", detail))
    if not state.is_platform_up:
        detail = "the platform is unreachable, so nothing was changed; try later"
        return state, _result(request, refuse("platform_unavailable", detail))
    if len(state.queued_changes) >= MAX_QUEUED_CHANGES:
        detail = "too many changes are queued on this instance; try later"
        return state, _result(request, refuse("overloaded", detail))
    request = request._replace(received_at=now)
    return state._replace(queued_changes=(*state.queued_changes, request)), ()


def _unknown_databases(state: ControlState, change: ConfigurationChange) -> list[str]:
    names: tuple[str, ...] = ()
    if isinstance(change, CreateWorkspace):
        names = change.databases
    elif isinstance(change, SetLeaving) and change.is_leaving:
        names = (change.database,)
    return [name for name in names if name not in state.max_connections_by_database]


def store_queued_changes(state: ControlState, now: float) -> ControlStep:
    """Start to store the next queued change, if no write is pending."""
    effects: tuple[Effect, ...] = ()
    if state.queued_changes and not is_configuration_row_current(state):
        return state._replace(next_poll_at=now), ()
    while state.queued_changes and not is_configuration_write_pending(state):
        request = state.queued_changes[0]
        document = state.configuration
        is_ahead = request.expected_version > document["version"]
        is_unconditional = not request.expected_version
        if (is_ahead or is_unconditional) and (
            state.platform_read_at <= request.received_at
        ):
            # This instance may not know yet of a version stored through another
            # instance; a change based on an older version would end in a version
            # conflict.
            return state._replace(next_poll_at=now), effects
        changed = apply_change(document, request.change)
        is_race = request.expected_version not in (0, document["version"])
        if is_race:
            yours = changed.ok if changed.is_ok() else document
            race = LostRace(
                ConfigurationDocument(**{**yours, "version": request.expected_version}),
                document,
            )
            state, effects = (
                _finish_first_change(state),
                effects + _result(request, race),
            )
        elif changed.is_error():
            state = _finish_first_change(state)
            effects += _result(request, changed.error)
        else:
            state, written = store_configuration(state, changed.ok, now, request.id)
            effects += written
    return state, effects


def handle_stored_write(
    state: ControlState, write: PlatformWrite, now: float
) -> ControlStep:
    """Adopt a stored document, push it to the peers and answer the operator."""
    document = cast(ConfigurationDocument, write.value)
    state, effects = adopt_configuration(state, document, now)
    effects += send_to_peers(state, ConfigurationPush(state.configuration))
    if is_write_of_first_change(state, write):
        request = state.queued_changes[0]
        body: dict[str, object] = {"version": document["version"]}
        line = f"admin: stored change={type(request.change).__name__}"
        log = ControlLog(f"{line} version={document['version']}")
        effects += (log, *_result(request, AdminAnswer(body)))
        state = _finish_first_change(state)
    return state, effects


def handle_lost_race(
    state: ControlState, write: PlatformWrite, now: float
) -> ControlStep:
    """Report a version conflict, or retry once a change that commutes."""
    if not is_write_of_first_change(state, write):
        return state, ()
    request = state.queued_changes[0]
    is_repeatable = not request.expected_version and commutes(request.change)
    if is_repeatable and not state.has_retried_change:
        return state._replace(has_retried_change=True), ()
    yours = cast(ConfigurationDocument, write.value)
    race = LostRace(yours, state.configuration)
    log = ControlLog(f"admin: lost race change={type(request.change).__name__}")
    return _finish_first_change(state), (log, *_result(request, race))


def handle_failed_write(
    state: ControlState, write: PlatformWrite, ran: ExecutionStatus, now: float
) -> ControlStep:
    """Report a change that was not stored or whose outcome is unknown."""
    if not is_write_of_first_change(state, write):
        return state, ()
    request = state.queued_changes[0]
    if ran is ExecutionStatus.NOT_RUN:
        code, detail = "platform_unavailable", "did not store the change; try later"
    else:
        code = "outcome_unknown"
        detail = (
            "did not confirm whether it stored the change; "
            "check the current state before you retry"
        )
    refusal = Refusal(code, ran, "administration", "", f"the platform {detail}")
    log = ControlLog(f"admin: {code} change={type(request.change).__name__}")
    return _finish_first_change(state), (log, *_result(request, refusal))


def is_write_of_first_change(state: ControlState, write: PlatformWrite) -> bool:
    """Return whether a write stores the first queued change."""
    return bool(state.queued_changes) and (
        state.queued_changes[0].id == write.admin_request_id
    )


def _finish_first_change(state: ControlState) -> ControlState:
    return state._replace(
        queued_changes=state.queued_changes[1:], has_retried_change=False
    )


def _result(
    request: AdminChange, outcome: AdminAnswer | Refusal | LostRace
) -> tuple[Effect, ...]:
    return (AdminResult(request.id, outcome),)
