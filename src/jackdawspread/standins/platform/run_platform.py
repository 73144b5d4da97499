"""Startup of the platform: its node, its inbox and its connections."""

from typing import Any

from trio import (
    SocketListener,
    SocketStream,
    open_memory_channel,
    open_nursery,
    serve_listeners,
)

from jackdawspread.standins.platform.platform_connection import PlatformConnection
from jackdawspread.standins.platform.platform_node import PlatformNode

# Connections wait while the inbox is full.
INBOX_CAPACITY = 1000


async def run_platform(listener: SocketListener) -> None:
    """Run the platform on a listening socket until cancelled."""
    events, inbox = open_memory_channel[Any](INBOX_CAPACITY)

    async def serve(stream: SocketStream) -> None:
        await PlatformConnection(stream, events).run()

    async with open_nursery() as nursery:
        nursery.start_soon(PlatformNode(inbox, events).run)
        await serve_listeners(serve, [listener])
