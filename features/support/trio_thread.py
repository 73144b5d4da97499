"""Trio event loop in a thread, for step definitions."""

from collections.abc import Awaitable, Callable
from queue import SimpleQueue
from threading import Thread
from typing import Any

import trio
from features.support.failed_task_error import FailedTaskError
from trio.testing import MockClock, wait_all_tasks_blocked


class TrioThread:
    """Runs a trio event loop in a thread.

    Parameters
    ----------
    real_time : bool
        Whether the loop uses the real clock; otherwise time passes only in
        `advance`.
    """

    def __init__(self, real_time: bool = False) -> None:
        self._clock = None if real_time else MockClock()
        self._ready: SimpleQueue[tuple[Any, trio.Nursery]] = SimpleQueue()
        self._error: BaseException | None = None
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()
        self._token, self._nursery = self._ready.get()

    def _run(self) -> None:
        try:
            trio.run(self._main, clock=self._clock)
        except BaseException as error:
            self._error = error

    async def _main(self) -> None:
        async with trio.open_nursery() as nursery:
            self._ready.put((trio.lowlevel.current_trio_token(), nursery))
            await trio.sleep_forever()

    def call(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run a coroutine function and return its result.

        Raises
        ------
        FailedTaskError
            If a task has ended the event loop by an error. behave does not handle
            the `trio.Cancelled` that the function gets then, and would end itself.
        """
        try:
            return trio.from_thread.run(function, *args, trio_token=self._token)
        except (trio.Cancelled, trio.RunFinishedError):
            self._join()
            raise

    def _join(self) -> None:
        """Wait for the end of the thread, and raise the error that ended it."""
        self._thread.join()
        if self._error:
            raise FailedTaskError("a task ended the event loop") from self._error

    def start(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Start a task."""

        async def start() -> None:
            self._nursery.start_soon(function, *args)

        self.call(start)

    def advance(self, seconds: float, step: float = 0.005) -> None:
        """Advance the clock in steps and let tasks run after each."""

        async def advance() -> None:
            await wait_all_tasks_blocked()
            for _ in range(round(seconds / step)):
                self._clock.jump(step)
                await wait_all_tasks_blocked()

        self.call(advance)

    def stop(self) -> None:
        """Cancel all tasks and end the thread.

        Raises
        ------
        FailedTaskError
            If a task has ended by an error, also one that occurred in the cancelling.
        """

        async def stop() -> None:
            self._nursery.cancel_scope.cancel()

        self.call(stop)
        self._join()
