"""Control plane of one instance over loopback connections."""

from hashlib import sha256

from features.fakes.platform_handler import PlatformHandler
from trio import Event, Nursery, open_memory_channel, open_tcp_listeners

from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.settings.instance_settings import InstanceSettings
from jackdawspread.tasks.admin_handler import AdminHandler
from jackdawspread.tasks.control_task import ControlTask, ControlTaskEvent, OwnerUpdate
from jackdawspread.tasks.control_timer import ControlTimer
from jackdawspread.tasks.http_server import HttpServer
from jackdawspread.tasks.platform_client import PlatformClient

CREDENTIAL = "operator-credential"


def instance_settings(platform_address: str) -> InstanceSettings:
    """Return the settings of an instance with one database."""
    return InstanceSettings(
        caller_address="127.0.0.1:1",
        admin_address="127.0.0.1:2",
        peer_address="127.0.0.1:3",
        failure_domain="zone-1",
        drain_ms=1,
        platform_address=platform_address,
        platform_timeout_ms=200,
        session_secret="secret",
        operator_key_hash=sha256(CREDENTIAL.encode()).hexdigest(),
        database_by_name={
            "swap1": DatabaseSettings(
                "swap1", ("127.0.0.1:4",), slots=2, connections=16
            )
        },
    )


class ControlInstance:
    """Runs a platform, a control task and the administration API on free ports."""

    def __init__(self) -> None:
        self.handler = PlatformHandler()
        self.snapshots, self.snapshot_inbox = open_memory_channel[ControlSnapshot](1)
        self.owner, self.owner_inbox = open_memory_channel[OwnerUpdate](8)
        self.admin_address = ""

    async def start(self, nursery: Nursery) -> None:
        """Start all tasks in a nursery."""
        platform_address = await self._serve(nursery, self.handler.handle)
        settings = instance_settings(platform_address)
        control, inbox = open_memory_channel[ControlTaskEvent](100)
        peers, self._peer_inbox = open_memory_channel[SendPeerMessage](100)
        calls, call_inbox = open_memory_channel[PlatformCall](16)
        task = ControlTask(
            settings,
            "incarnation1",
            inbox,
            peers,
            calls,
            (self.snapshots,),
            {"swap1": self.owner},
        )
        timeout = settings.platform_timeout_ms / 1000
        client = PlatformClient(platform_address, timeout, call_inbox, control)
        for started in (task, client, ControlTimer(control)):
            nursery.start_soon(started.run)
        admin = AdminHandler(control, settings.operator_key_hash)
        self.admin_address = await self._serve(nursery, admin.handle)

    async def _serve(self, nursery: Nursery, handle) -> str:  # type: ignore[no-untyped-def]
        listener = (await open_tcp_listeners(0, host="127.0.0.1"))[0]
        nursery.start_soon(HttpServer(listener, handle, Event()).run)
        return f"127.0.0.1:{listener.socket.getsockname()[1]}"
