"""Changes of the state of an admission, by the kind of admission in use."""

from collections.abc import Sequence
from functools import singledispatch

from jackdawspread.decisions.members.priority_admission import (
    PriorityAdmission,
    begin_request,
    end_request,
    record_loss,
    record_rejection,
)
from jackdawspread.decisions.members.statement_admission import StatementAdmission
from jackdawspread.decisions.members.statement_queue import (
    StatementQueue,
    end_statement,
    start_statement,
    statement_limit,
)
from jackdawspread.messages.fleet.connection_request import ConnectionRequest


@singledispatch
def lease_started(
    state: StatementAdmission,
    lease: int,
    request: ConnectionRequest,
    waiting: Sequence[ConnectionRequest],
    now: float,
) -> StatementAdmission:
    """Return the state after a request has got a connection."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@lease_started.register
def _(
    state: StatementQueue,
    lease: int,
    request: ConnectionRequest,
    waiting: Sequence[ConnectionRequest],
    now: float,
) -> StatementAdmission:
    if not request.is_single_statement:
        return state
    return start_statement(state, lease, now)


@lease_started.register
def _(
    state: PriorityAdmission,
    lease: int,
    request: ConnectionRequest,
    waiting: Sequence[ConnectionRequest],
    now: float,
) -> StatementAdmission:
    return begin_request(state, lease, request, waiting, now)


@singledispatch
def lease_ended(
    state: StatementAdmission, lease: int, slots: int, others_wait: bool, now: float
) -> StatementAdmission:
    """Return the state after a connection was returned."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@lease_ended.register
def _(
    state: StatementQueue, lease: int, slots: int, others_wait: bool, now: float
) -> StatementAdmission:
    return end_statement(state, lease, now)


@lease_ended.register
def _(
    state: PriorityAdmission, lease: int, slots: int, others_wait: bool, now: float
) -> StatementAdmission:
    return end_request(state, lease, slots, others_wait, now)


@singledispatch
def member_rejected(state: StatementAdmission, now: float) -> StatementAdmission:
    """Return the state after the member refused a statement as its queue was full."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@member_rejected.register
def _(state: StatementQueue, now: float) -> StatementAdmission:
    return state


@member_rejected.register
def _(state: PriorityAdmission, now: float) -> StatementAdmission:
    return record_rejection(state, now)


@singledispatch
def member_lost(state: StatementAdmission, slots: int) -> StatementAdmission:
    """Return the state after the member could not be reached."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@member_lost.register
def _(state: StatementQueue, slots: int) -> StatementAdmission:
    return state


@member_lost.register
def _(state: PriorityAdmission, slots: int) -> StatementAdmission:
    return record_loss(state, slots)


@singledispatch
def concurrency_limit(state: StatementAdmission, slots: int) -> int:
    """Return how many single statements may be in progress at the member."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@concurrency_limit.register
def _(state: StatementQueue, slots: int) -> int:
    return statement_limit(slots)


@concurrency_limit.register
def _(state: PriorityAdmission, slots: int) -> int:
    return int(state.concurrency.limit)
