"""Task that owns one connection."""

from collections.abc import Callable
from typing import Protocol

from trio import MemoryReceiveChannel

from jackdawspread.messages.http_call import HttpCall


class ConnectionTask(Protocol):
    """Task that owns one connection, such as `HttpClientConnection`."""

    async def run(self) -> None:
        """Make the calls of its inbox until it closes or a call fails."""


ConnectionFactory = Callable[[int, str, MemoryReceiveChannel[HttpCall]], ConnectionTask]
