"""Admission of statements to a member by the priority of their routes.

A member serves its queue in the order of arrival. So an instance sends it only what it
runs soon, and what waits for room is ordered here: a more urgent statement goes first
and displaces less urgent ones that can then no longer be served in time.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from jackdawspread.decisions.members.admission_order import (
    admission_order,
    count_passed_over,
)
from jackdawspread.decisions.members.member_concurrency import (
    MemberConcurrency,
    complete_statement,
    initial_concurrency,
    next_mean_s,
    reduce_after_loss,
    reduce_after_rejection,
)
from jackdawspread.decisions.members.statement_in_progress import StatementInProgress
from jackdawspread.decisions.members.waiting_refusal import (
    DISPLACED,
    NO_ROOM,
    WaitingRefusal,
)
from jackdawspread.messages.fleet.connection_request import ConnectionRequest

# Statements as which an open transaction counts, as it pauses between them.
TRANSACTION_ROOM = 0.5
# Part of the limit that open transactions occupy at most. Callers may rest inside a
# transaction, and must not keep single statements from the member.
MAX_TRANSACTION_FRACTION = 0.5
# A statement that takes longer than this multiple of the mean occupies no room any
# more: its answer is probably lost, and the member has long ended it. No more than
# the limit are left out in this way, as the member may also have stopped.
OVERDUE_FACTOR = 4
# Assumed duration of a statement in seconds before one has ended.
INITIAL_DURATION_S = 0.02


class PriorityAdmission(NamedTuple):
    """What an instance has in progress at a member, and the limit for it.

    Parameters
    ----------
    concurrency : MemberConcurrency
        Limit of the statements in progress.
    statement_by_lease : dict
        Statements and transactions in progress.
    passed_over_by_priority : dict
        How often a waiting priority was passed over since it was last served.
    duration_s : float
        Moving average of the time in seconds for which a statement keeps its room.
    """

    concurrency: MemberConcurrency
    statement_by_lease: dict[int, StatementInProgress] = {}
    passed_over_by_priority: dict[int, int] = {}
    duration_s: float = INITIAL_DURATION_S


def make_priority_admission(slots: int) -> PriorityAdmission:
    """Return the state for a member to which nothing was sent yet."""
    return PriorityAdmission(initial_concurrency(slots))


def free_room(state: PriorityAdmission, now: float) -> int:
    """Return how many requests may be sent to the member now."""
    limit = state.concurrency.limit
    overdue_before = now - OVERDUE_FACTOR * state.duration_s
    started = [
        statement.started_at
        for statement in state.statement_by_lease.values()
        if statement.is_single_statement
    ]
    overdue = sum(started_at < overdue_before for started_at in started)
    running = len(started) - min(overdue, limit)
    transactions = len(state.statement_by_lease) - len(started)
    occupied = min(TRANSACTION_ROOM * transactions, MAX_TRANSACTION_FRACTION * limit)
    return max(0, int(limit - running - occupied))


def begin_request(
    state: PriorityAdmission,
    lease: int,
    request: ConnectionRequest,
    waiting: Sequence[ConnectionRequest],
    now: float,
) -> PriorityAdmission:
    """Return the state after a request has got its connection."""
    statement = StatementInProgress(now, request.priority, request.is_single_statement)
    return state._replace(
        statement_by_lease={**state.statement_by_lease, lease: statement},
        passed_over_by_priority=count_passed_over(
            state.passed_over_by_priority, request, waiting
        ),
    )


def end_request(
    state: PriorityAdmission, lease: int, slots: int, others_wait: bool, now: float
) -> PriorityAdmission:
    """Return the state after a connection was returned."""
    statement = state.statement_by_lease.get(lease)
    if statement is None:
        return state
    rest = {id: other for id, other in state.statement_by_lease.items() if id != lease}
    state = state._replace(statement_by_lease=rest)
    if not statement.is_single_statement:
        return state
    took_s = now - statement.started_at
    return state._replace(
        duration_s=next_mean_s(state.duration_s, took_s),
        concurrency=complete_statement(
            state.concurrency, statement.priority, took_s, slots, others_wait, now
        ),
    )


def record_rejection(state: PriorityAdmission, now: float) -> PriorityAdmission:
    """Return the state after the member refused a statement as its queue was full."""
    return state._replace(concurrency=reduce_after_rejection(state.concurrency, now))


def record_loss(state: PriorityAdmission, slots: int) -> PriorityAdmission:
    """Return the state after the member could not be reached."""
    return state._replace(concurrency=reduce_after_loss(state.concurrency, slots))


def order_waiting(
    state: PriorityAdmission,
    waiting: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
    now: float,
) -> list[ConnectionRequest]:
    """Return the waiting requests in the order in which they get room."""
    return admission_order(
        waiting,
        in_use_by_workspace,
        state.passed_over_by_priority,
        now + state.duration_s,
    )


def refuse_waiting(
    state: PriorityAdmission,
    waiting: Sequence[ConnectionRequest],
    newest: ConnectionRequest,
    in_use_by_workspace: Mapping[str, int],
    now: float,
) -> list[WaitingRefusal]:
    """Return the requests that can't get room in time once ``newest`` waits too."""
    ordered = order_waiting(state, [*waiting, newest], in_use_by_workspace, now)
    step_s = state.duration_s / state.concurrency.limit
    ahead = -free_room(state, now)
    refusals = []
    for request in ordered:
        wait_s = max(0, ahead + 1) * step_s
        if now + wait_s <= request.expires_at:
            ahead += 1
            continue
        reason = NO_ROOM if request is newest else DISPLACED
        # Less urgent callers come back later, so that the more urgent ones find room.
        retry_after_s = wait_s * (1 + max(0, request.priority))
        refusals.append(WaitingRefusal(request, reason, wait_s, retry_after_s))
    return refusals
