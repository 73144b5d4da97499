"""Collects the lines of the log."""

from collections.abc import Iterator
from contextlib import contextmanager
from logging import Handler

from absl import logging


@contextmanager
def collect_log_lines() -> Iterator[list[str]]:
    """Give a list that grows by the text of each line of the log, INFO and above."""
    lines: list[str] = []
    handler = Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    logger, verbosity = logging.get_absl_logger(), logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    logger.addHandler(handler)
    try:
        yield lines
    finally:
        logger.removeHandler(handler)
        logging.set_verbosity(verbosity)
