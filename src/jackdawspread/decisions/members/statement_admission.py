"""Which waiting requests a member may be sent, by the kind of admission in use."""

from collections.abc import Mapping, Sequence
from functools import singledispatch

from jackdawspread.decisions.members.next_waiter import next_waiter
from jackdawspread.decisions.members.priority_admission import (
    PriorityAdmission,
    begin_request,
    end_request,
    free_room,
    lose_connection,
    order_waiting,
    refuse_waiting,
    reject_by_member,
)
from jackdawspread.decisions.members.statement_queue import (
    StatementQueue,
    end_statement,
    expected_wait_s,
    start_statement,
    statement_limit,
)
from jackdawspread.decisions.members.waiting_refusal import NO_ROOM, WaitingRefusal
from jackdawspread.messages.fleet.connection_request import ConnectionRequest

StatementAdmission = StatementQueue | PriorityAdmission


@singledispatch
def admissible_requests(
    state: object,
    slots: int,
    waiting: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
    pending_connections: int,
    now: float,
) -> list[ConnectionRequest]:
    """Return the waiting requests that may get a connection now.

    ``pending_connections`` is the number of connections that are being opened for some
    of the others.
    """
    raise TypeError(f"no admission of type {type(state).__name__}")


@admissible_requests.register
def _(
    state: StatementQueue,
    slots: int,
    waiting: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
    pending_connections: int,
    now: float,
) -> list[ConnectionRequest]:
    running = len(state.started_at_by_lease)
    free = statement_limit(slots) - running - pending_connections
    return [
        request for request in waiting if free > 0 or not request.is_single_statement
    ]


@admissible_requests.register
def _(
    state: PriorityAdmission,
    slots: int,
    waiting: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
    pending_connections: int,
    now: float,
) -> list[ConnectionRequest]:
    room = free_room(state, now)
    if not room:
        return []
    # Requests for which a connection is being opened are among the first ones.
    return order_waiting(state, waiting, in_use_by_workspace, now)[:room]


@singledispatch
def choose_request(
    state: object,
    admissible: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
) -> ConnectionRequest:
    """Return the admissible request that gets the next connection."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@choose_request.register
def _(
    state: StatementQueue,
    admissible: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
) -> ConnectionRequest:
    return next_waiter(admissible, in_use_by_workspace)


@choose_request.register
def _(
    state: PriorityAdmission,
    admissible: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
) -> ConnectionRequest:
    return admissible[0]


@singledispatch
def refuse_unservable(
    state: object,
    slots: int,
    waiting: Sequence[ConnectionRequest],
    newest: ConnectionRequest,
    in_use_by_workspace: Mapping[str, int],
    now: float,
) -> list[WaitingRefusal]:
    """Return the requests that can't be served in time once ``newest`` waits too."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@refuse_unservable.register
def _(
    state: StatementQueue,
    slots: int,
    waiting: Sequence[ConnectionRequest],
    newest: ConnectionRequest,
    in_use_by_workspace: Mapping[str, int],
    now: float,
) -> list[WaitingRefusal]:
    if not newest.is_single_statement:
        return []
    wait_s = expected_wait_s(state, slots, newest, waiting, in_use_by_workspace)
    if now + wait_s <= newest.expires_at:
        return []
    return [WaitingRefusal(newest, NO_ROOM, wait_s, wait_s)]


@refuse_unservable.register
def _(
    state: PriorityAdmission,
    slots: int,
    waiting: Sequence[ConnectionRequest],
    newest: ConnectionRequest,
    in_use_by_workspace: Mapping[str, int],
    now: float,
) -> list[WaitingRefusal]:
    return refuse_waiting(state, waiting, newest, in_use_by_workspace, now)


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
    return reject_by_member(state, now)


@singledispatch
def member_lost(state: StatementAdmission, slots: int) -> StatementAdmission:
    """Return the state after the member could not be reached."""
    raise TypeError(f"no admission of type {type(state).__name__}")


@member_lost.register
def _(state: StatementQueue, slots: int) -> StatementAdmission:
    return state


@member_lost.register
def _(state: PriorityAdmission, slots: int) -> StatementAdmission:
    return lose_connection(state, slots)


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
