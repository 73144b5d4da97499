"""Steps for the log of an instance's activity."""

from logging import Handler, LogRecord

from absl import logging
from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread

from jackdawspread.tasks.fleet.activity_log import LOG_INTERVAL_S, ActivityLog
from jackdawspread.tasks.fleet.fleet_metrics import DATAGRAMS, STORE_CALLS


class _Lines(Handler):
    """Keeps the text of each log record."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: LogRecord) -> None:
        """Keep one line."""
        self.lines.append(record.getMessage())


@given(
    "an instance that has called the store {calls:d} times and sent {sent:d} datagrams"
)
def active(context: Context, calls: int, sent: int) -> None:
    """Start the log, and count calls and datagrams after its first line."""
    context.handler = _Lines()
    logger = logging.get_absl_logger()
    logging.set_verbosity(logging.INFO)
    logger.addHandler(context.handler)
    context.add_cleanup(logger.removeHandler, context.handler)
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.thread.start(ActivityLog().run)
    context.thread.advance(LOG_INTERVAL_S, step=LOG_INTERVAL_S)
    context.handler.lines.clear()
    STORE_CALLS.labels("members", "ok").inc(calls)
    DATAGRAMS.labels("sent", "TokenRequest").inc(sent)


@when("the interval of the activity log has passed")
def interval_passed(context: Context) -> None:
    """Advance the clock."""
    context.thread.advance(LOG_INTERVAL_S, step=LOG_INTERVAL_S)


@then('a line says "{first}" and "{second}"')
def line_says(context: Context, first: str, second: str) -> None:
    """Look for both texts in one line."""
    assert any(first in line and second in line for line in context.handler.lines), (
        context.handler.lines
    )
