"""Acceptance of TCP connections."""

from typing import Protocol

from absl import logging
from trio import SocketStream, sleep

RETRY_DELAY_S = 0.05


class Listener(Protocol):
    """What this module needs of a listening socket."""

    async def accept(self) -> SocketStream:
        """Accept one connection."""


async def accept(listener: Listener, part: str) -> SocketStream:
    """Accept the next connection.

    An error, for example for want of file descriptors, is logged with the prefix
    ``part``, and the next connection is accepted after a short delay.
    """
    while True:
        try:
            return await listener.accept()
        except OSError as error:
            logging.warning("%s: accept failed reason=%r", part, error)
            await sleep(RETRY_DELAY_S)
