"""Steps for log lines that can't be formatted."""

import os
from logging import INFO, LogRecord
from math import inf
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from jackdawspread.logs import bounded_log_handler
from jackdawspread.logs.bounded_log_handler import BoundedLogHandler


@given("the log handler of an instance")
def handler(context: Context) -> None:
    """Write to a pipe in place of standard output."""
    context.read_end, write_end = os.pipe()
    context.add_cleanup(os.close, context.read_end)
    context.add_cleanup(os.close, write_end)
    patch = mock.patch.object(bounded_log_handler, "STDOUT", write_end)
    patch.start()
    context.add_cleanup(patch.stop)
    context.handler = BoundedLogHandler()


@when("a line with an infinite number in place of a whole one is logged")
def logged(context: Context) -> None:
    """Emit the line."""
    record = LogRecord("test", INFO, __file__, 1, "age_ms=%d", (inf,), None)
    context.handler.emit(record)


@then("the line says that it could not be formatted")
def not_formatted(context: Context) -> None:
    """Read what was written."""
    line = os.read(context.read_end, 1000).decode()
    assert "not formatted" in line and "age_ms=%d" in line, line
