"""Cancellation of a wait when the peer closes the connection."""

import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

from trio import BrokenResourceError, SocketStream, open_nursery, sleep_forever

T = TypeVar("T")


async def cancel_on_close(stream: SocketStream, wait: Callable[[], Awaitable[T]]) -> T:
    """Return the result of `wait`, which is cancelled if the peer closes the stream.

    Raises
    ------
    trio.BrokenResourceError
        If the peer closed the stream before `wait` returned.
    """
    results: list[T] = []
    async with open_nursery() as nursery:

        async def watch() -> None:
            try:
                # MSG_PEEK leaves the data of a pipelined request in the socket.
                data = await stream.socket.recv(1, socket.MSG_PEEK)
            except OSError:
                data = b""
            if data:
                await sleep_forever()
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        results.append(await wait())
        nursery.cancel_scope.cancel()
    if not results:
        raise BrokenResourceError("closed by the peer")
    return results[0]
