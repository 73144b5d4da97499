"""Which waiting requests a member may be sent, by the kind of admission in use.

``admission_updates`` has the changes of the state.
"""

from collections.abc import Mapping, Sequence
from functools import singledispatch

from jackdawspread.decisions.members.next_waiter import next_waiter
from jackdawspread.decisions.members.priority_admission import (
    PriorityAdmission,
    free_room,
    order_waiting,
    refuse_waiting,
)
from jackdawspread.decisions.members.statement_queue import (
    StatementQueue,
    expected_wait_s,
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
