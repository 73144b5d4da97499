"""Runs a task whose unexpected error must not end the process."""

from collections.abc import Awaitable, Callable

from absl import logging

from jackdawspread.tasks.fleet.fleet_metrics import UNEXPECTED_ERRORS


async def run_isolated(part: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run the task of one session or one connection.

    An unexpected error ends only this task: it is logged with its traceback and
    counted. A task that the whole process depends on is not run in this way, since a
    restart of the process is better than going on without it.

    Parameters
    ----------
    part : str
        Prefix of the log line.
    run : callable
        The task; it closes its sockets itself.
    """
    try:
        await run()
    except Exception:
        UNEXPECTED_ERRORS.labels(part).inc()
        logging.exception("%s: ended by an unexpected error", part)
