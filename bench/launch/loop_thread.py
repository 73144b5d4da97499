"""Trio loop in a thread, for callers that are not asynchronous."""

from collections.abc import Awaitable, Callable
from queue import SimpleQueue
from threading import Thread
from typing import Any

from trio import Nursery, fail_after, from_thread, open_nursery, run, sleep_forever
from trio.lowlevel import TrioToken, current_trio_token

CALL_S = 60.0


class LoopThread:
    """Runs trio in a thread until `stop`; tasks go on between two calls."""

    def __init__(self) -> None:
        self._ready: SimpleQueue[tuple[TrioToken, Nursery]] = SimpleQueue()
        self._thread = Thread(target=run, args=(self._main,), daemon=True)
        self._thread.start()
        self._token, self._nursery = self._ready.get()

    async def _main(self) -> None:
        async with open_nursery() as self._nursery:
            self._ready.put((current_trio_token(), self._nursery))
            await sleep_forever()

    def call(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run a coroutine function and return its result."""

        async def bounded() -> Any:
            with fail_after(CALL_S):
                return await function(*args)

        return from_thread.run(bounded, trio_token=self._token)

    def start(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Start a task that goes on after this call."""

        async def start() -> None:
            self._nursery.start_soon(function, *args)

        self.call(start)

    def stop(self) -> None:
        """Cancel every task and end the thread."""
        from_thread.run_sync(self._nursery.cancel_scope.cancel, trio_token=self._token)
        self._thread.join()
