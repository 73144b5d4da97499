"""Waiting for an answer while watching the socket."""

import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

from trio import BrokenResourceError, SocketStream, open_nursery, sleep_forever

T = TypeVar("T")


async def until_closed(stream: SocketStream, wait: Callable[[], Awaitable[T]]) -> T:
    """Return the result of `wait`, giving up when the other end closes.

    Raises
    ------
    trio.BrokenResourceError
        If the other end closed first.
    """
    results: list[T] = []
    async with open_nursery() as nursery:

        async def watch() -> None:
            try:
                # Peeking leaves a pipelined request in the socket.
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
        raise BrokenResourceError("closed by the other end")
    return results[0]
