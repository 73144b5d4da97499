"""Keeps an unexpected error from ending the whole process.

Whatever one connection, datagram, file or signal can reach runs through this module.
``scripts/check_isolation.py`` checks this for tasks. It lists the tasks on which the
whole process depends, where a restart is better than going on.
"""

from collections.abc import Awaitable, Callable
from typing import ParamSpec

from absl import logging

from jackdawspread.tasks.fleet.fleet_metrics import UNEXPECTED_ERRORS

P = ParamSpec("P")


async def run_isolated(part: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run the task of one session or one connection.

    An unexpected error ends only this task: it is logged with its traceback and
    counted.

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
        _report(part)


def call_isolated(
    part: str, function: Callable[P, object], *args: P.args, **kwargs: P.kwargs
) -> bool:
    """Call a function for one connection, datagram or signal.

    Returns whether it ended without an unexpected error.
    """
    try:
        function(*args, **kwargs)
    except Exception:
        _report(part)
        return False
    return True


def _report(part: str) -> None:
    UNEXPECTED_ERRORS.labels(part).inc()
    logging.exception("%s: ended by an unexpected error", part)
