"""Decides what a session may still do while its instance stops.

An operation that has begun ends, or its next statement before the exit is answered with
a refusal that is true. An operation that could not end before the process exits
is refused before it begins.
"""

from functools import singledispatch

from jackdawspread.decisions.sessions.answer_locally import AnswerLocally
from jackdawspread.decisions.sessions.finish_transaction import FinishTransaction
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.start_transaction import StartTransaction
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.refusal import Refusal
from jackdawspread.settings.stop_times import StopTimes

STEP = "shutdown"
# A session is closed only after it has been idle for this long. A caller that has just
# been answered may already have sent its next statement.
CLOSE_AFTER_IDLE_S = 0.25
# A caller closes its session within a round trip after the notice. One that doesn't
# read while it is idle must not keep the process from its exit.
NOTICE_TIMEOUT_S = 1.0


def notify_session_at(
    times: StopTimes, in_transaction: bool, active_at: float
) -> float:
    """Return the time at which a session that waits for a statement gets its notice.

    A caller that gets it while no statement is outstanding closes the session. To a
    statement that was sent before, it is a refusal that is true, whereas the end of
    the stream would leave the statement without an answer. A session with an open
    transaction waits as long as its next statement could still run.
    """
    refused_from = max(times.refuse_at, active_at)
    if in_transaction:
        return refused_from
    return min(max(times.close_at, active_at + CLOSE_AFTER_IDLE_S), refused_from)


def closing_notice(in_transaction: bool) -> Refusal:
    """Return what a caller is told before its session is closed."""
    return _refuse_aborted() if in_transaction else refuse_stopping()


def end_session_at(times: StopTimes, notified_at: float) -> float:
    """Return the time at which a session ends whose caller ignores its notice."""
    return min(times.exit_at, notified_at + NOTICE_TIMEOUT_S)


def refuse_handshake(times: StopTimes, now: float) -> Refusal | None:
    """Return the refusal of a new session, None if it is still served."""
    return refuse_stopping() if now >= times.refuse_at else None


@singledispatch
def refuse_while_stopping(
    plan: object, in_transaction: bool, times: StopTimes, now: float
) -> Refusal | None:
    """Return the refusal of a planned statement, None if it may still run."""
    raise TypeError(f"no decision for a {type(plan).__name__}")


@refuse_while_stopping.register
def _(
    plan: AnswerLocally, in_transaction: bool, times: StopTimes, now: float
) -> Refusal | None:
    return None


@refuse_while_stopping.register
def _(
    plan: StartTransaction, in_transaction: bool, times: StopTimes, now: float
) -> Refusal | None:
    return refuse_stopping() if now >= times.begin_until else None


@refuse_while_stopping.register
def _(
    plan: RunStatement, in_transaction: bool, times: StopTimes, now: float
) -> Refusal | None:
    if now < times.refuse_at:
        return None
    return _refuse_aborted() if in_transaction else refuse_stopping()


@refuse_while_stopping.register
def _(
    plan: FinishTransaction, in_transaction: bool, times: StopTimes, now: float
) -> Refusal | None:
    return _refuse_aborted() if plan.commit and now >= times.refuse_at else None


def refuse_stopping() -> Refusal:
    """Return the refusal of an operation that has not begun."""
    # Another instance can serve the caller at once, so there is nothing to wait for.
    detail = "the instance is stopping; another instance serves this operation"
    return Refusal("busy", ExecutionStatus.NOT_RUN, STEP, "", detail)


def _refuse_aborted() -> Refusal:
    detail = "the transaction was rolled back: the instance is stopping"
    return Refusal("aborted", ExecutionStatus.NOT_RUN, STEP, "", detail)
