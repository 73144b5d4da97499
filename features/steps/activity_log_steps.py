"""Steps for the log of an instance's activity."""

from contextlib import ExitStack

from behave import given, then, when
from behave.runner import Context
from features.support.log_lines import collect_log_lines
from features.support.trio_thread import TrioThread

from jackdawspread.tasks.fleet.activity_log import LOG_INTERVAL_S, ActivityLog
from jackdawspread.tasks.fleet.fleet_metrics import DATAGRAMS, STORE_CALLS


@given(
    "an instance that has called the store {calls:d} times and sent {sent:d} datagrams"
)
def active(context: Context, calls: int, sent: int) -> None:
    """Start the log, and count calls and datagrams after its first line."""
    lines = ExitStack()
    context.lines = lines.enter_context(collect_log_lines())
    context.add_cleanup(lines.close)
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.thread.start(ActivityLog().run)
    context.thread.advance(LOG_INTERVAL_S, step=LOG_INTERVAL_S)
    context.lines.clear()
    STORE_CALLS.labels("members", "ok").inc(calls)
    DATAGRAMS.labels("sent", "TokenRequest").inc(sent)


@when("the interval of the activity log has passed")
def interval_passed(context: Context) -> None:
    """Advance the clock."""
    context.thread.advance(LOG_INTERVAL_S, step=LOG_INTERVAL_S)


@then('a line says "{first}" and "{second}"')
def line_says(context: Context, first: str, second: str) -> None:
    """Look for both texts in one line."""
    assert any(first in line and second in line for line in context.lines), (
        context.lines
    )
