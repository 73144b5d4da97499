"""Composition root of an entry instance."""

from math import inf
from secrets import token_hex

from trio import (
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    SocketListener,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
)

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.seat_assignment import SeatAssignment
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.settings.instance_settings import InstanceSettings
from jackdawspread.tasks.caller_handler import CallerHandler
from jackdawspread.tasks.database_owner import DatabaseOwner, OwnerEvent
from jackdawspread.tasks.gateway import Gateway, GatewayEvent
from jackdawspread.tasks.http_server import HttpServer

GATEWAY_INBOX = 10_000
OWNER_INBOX = 10_000


async def run_instance(settings: InstanceSettings, stopping: Event) -> None:
    """Wire the parts of an instance and run them until it has stopped."""
    gateway_send, gateway_inbox = open_memory_channel[GatewayEvent](GATEWAY_INBOX)
    owner_by_database: dict[str, MemorySendChannel[RoutedSubmission]] = {}
    incarnation = token_hex(8)
    async with open_nursery() as nursery:
        for name, database in settings.database_by_name.items():
            send, inbox = open_memory_channel[OwnerEvent](OWNER_INBOX)
            submissions, owner_inbox = open_memory_channel[RoutedSubmission](
                OWNER_INBOX
            )
            owner_by_database[name] = submissions
            nursery.start_soon(_forward, owner_inbox, send)
            # Until the control task exists, the single instance holds seat 0.
            seat = SeatAssignment(name, 1, 0, True, database.connections)
            send.send_nowait(seat)
            send.send_nowait(_open_snapshot())
            terms, _ = open_memory_channel[TermAnnouncement](1)
            owner = DatabaseOwner(database, incarnation, inbox, terms)
            nursery.start_soon(owner.run)
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


async def _forward(
    submissions: MemoryReceiveChannel[RoutedSubmission],
    owner: MemorySendChannel[OwnerEvent],
) -> None:
    async for submission in submissions:
        await owner.send(submission)


def _open_snapshot() -> ControlSnapshot:
    """Return a snapshot that admits the gateway's only key id, the empty one."""
    return ControlSnapshot(
        incarnation="",
        authority_deadline=inf,
        configuration={
            "version": 1,
            "write_id": "",
            "preset": "ordinary",
            "preset_by_name": {
                "ordinary": {
                    "queue_limit": 100,
                    "queue_wait_ms": 1000,
                    "replica_reads": True,
                    "retry_percent": 10,
                    "writes_allowed": True,
                }
            },
            "head_office": {"default": {}, "lowest": {}, "highest": {}},
            "workspace_by_name": {},
            "key_by_id": {"": {"workspace": "default", "withdrawn": False}},
            "leaving_databases": [],
        },
        withdrawn_key_ids=frozenset(),
        unsettled_views=(),
        seat_addresses_by_database={},
    )


async def listen(address: str) -> SocketListener:
    """Open a listening socket on ``IP:port``."""
    host, port = address.rsplit(":", 1)
    listeners = await open_tcp_listeners(int(port), host=host)
    return listeners[0]
