"""Runs a coroutine until it ends or a signal arrives."""

import signal
import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from expression import Error, Ok, Result

from bench.bench_error import BenchError

T = TypeVar("T")
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def show_line(line: str) -> None:
    """Print a line at once."""
    print(line, flush=True)


def run_until_signal(carry_out: Callable[[], Awaitable[T]]) -> Result[T, int]:
    """Run a coroutine function; SIGINT and SIGTERM cancel it.

    Returns
    -------
    Result of T and int
        The value, or the exit status after a signal or a `BenchError`.
    """
    results: list[T] = []
    status = EXIT_INTERRUPTED
    try:
        trio.run(_run, carry_out, results)
    except* BenchError as group:
        status = EXIT_FAILED
        print(f"failed: {_first(group)}", file=sys.stderr)
    if results:
        return Ok(results[0])
    if status == EXIT_INTERRUPTED:
        print("interrupted; every process has ended", file=sys.stderr)
    return Error(status)


async def _run(carry_out: Callable[[], Awaitable[T]], results: list[T]) -> None:
    async def run_to_end() -> None:
        results.append(await carry_out())
        nursery.cancel_scope.cancel()

    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_to_end)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                break


def _first(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
