"""Startup of a member: its node, its inbox and its connections."""

from itertools import count
from typing import Any

from trio import (
    SocketListener,
    SocketStream,
    open_memory_channel,
    open_nursery,
    serve_listeners,
)

from jackdawspread.standins.member.member_connection import MemberConnection
from jackdawspread.standins.member.member_node import MemberNode
from jackdawspread.standins.member.member_options import MemberOptions

# Connections wait while the inbox is full.
INBOX_CAPACITY = 1000


async def run_member(options: MemberOptions, listener: SocketListener) -> None:
    """Run a member on a listening socket until cancelled."""
    events, inbox = open_memory_channel[Any](INBOX_CAPACITY)
    ids = count(1)

    async def serve(stream: SocketStream) -> None:
        await MemberConnection(next(ids), stream, events).run()

    async with open_nursery() as nursery:
        nursery.start_soon(MemberNode(options, inbox, events).run)
        await serve_listeners(serve, [listener])
