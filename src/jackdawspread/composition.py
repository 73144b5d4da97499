"""Composition root of an entry instance."""

from trio import (
    Event,
    MemorySendChannel,
    SocketListener,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
)

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.settings.instance_settings import InstanceSettings
from jackdawspread.tasks.caller_handler import CallerHandler
from jackdawspread.tasks.database_owner import DatabaseOwner
from jackdawspread.tasks.gateway import Gateway, GatewayEvent
from jackdawspread.tasks.http_server import HttpServer

GATEWAY_INBOX = 10_000
OWNER_INBOX = 10_000


async def run_instance(settings: InstanceSettings, stopping: Event) -> None:
    """Wire the parts of an instance and run them until it has stopped."""
    gateway_send, gateway_inbox = open_memory_channel[GatewayEvent](GATEWAY_INBOX)
    owner_by_database: dict[str, MemorySendChannel[RoutedSubmission]] = {}
    async with open_nursery() as nursery:
        for name, database in settings.database_by_name.items():
            send, inbox = open_memory_channel[RoutedSubmission](OWNER_INBOX)
            owner_by_database[name] = send
            nursery.start_soon(DatabaseOwner(database, inbox).run)
        gateway = Gateway(
            gateway_inbox,
            gateway_send,
            owner_by_database,
            SessionTokenCodec(settings.session_secret),
        )
        nursery.start_soon(gateway.run)
        handler = CallerHandler(gateway_send, stopping)
        listener = await listen(settings.caller_address)
        await HttpServer(listener, handler.handle, stopping).run()
        nursery.cancel_scope.cancel()


async def listen(address: str) -> SocketListener:
    """Open a listening socket on ``IP:port``."""
    host, port = address.rsplit(":", 1)
    listeners = await open_tcp_listeners(int(port), host=host)
    return listeners[0]
