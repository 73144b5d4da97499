"""Instance of the HTTP deployment: its tasks and the channels between them."""

from secrets import token_hex

from trio import (
    CancelScope,
    Event,
    MemorySendChannel,
    Nursery,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.decisions.limits.memory_limits import http_memory_limits
from jackdawspread.messages.begin_shutdown import BeginShutdown
from jackdawspread.messages.instance_listing import InstanceListing
from jackdawspread.messages.leave_view import LeaveView
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.settings.instance_settings import InstanceSettings
from jackdawspread.tasks.admin_handler import AdminHandler
from jackdawspread.tasks.caller_handler import CallerHandler
from jackdawspread.tasks.control_task import ControlTask, ControlTaskEvent
from jackdawspread.tasks.control_timer import ControlTimer
from jackdawspread.tasks.database_owner import DatabaseOwner, OwnerEvent
from jackdawspread.tasks.frame_queue import FrameQueue
from jackdawspread.tasks.gateway import Gateway, GatewayEvent
from jackdawspread.tasks.http_server import HttpServer
from jackdawspread.tasks.instance_registration import InstanceRegistration
from jackdawspread.tasks.limits.memory_budget import MemoryBudget
from jackdawspread.tasks.listen import listen
from jackdawspread.tasks.open_work import wait_for_open_work
from jackdawspread.tasks.peer_client import PeerClient, PeerClientEvent
from jackdawspread.tasks.peer_server import PeerServer
from jackdawspread.tasks.peer_server_stream import PeerServerStream
from jackdawspread.tasks.platform_client import PlatformClient

# A full inbox refuses further requests, so these sizes limit the memory that an
# overload can use.
GATEWAY_INBOX_SIZE = 10_000
OWNER_INBOX_SIZE = 10_000
PEER_CLIENT_INBOX_SIZE = 20_000
CONTROL_INBOX_SIZE = 1_000
PLATFORM_INBOX_SIZE = 64
# Time for the platform and the peers to record that the instance left the view.
LEAVE_TIMEOUT_S = 1.0
MAX_ADMINISTRATION_CONNECTIONS = 64


class Instance:
    """Creates the tasks of an instance and the channels between them.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    stopping : trio.Event
        Set to begin a graceful shutdown.
    """

    def __init__(self, settings: InstanceSettings, stopping: Event) -> None:
        self._settings = settings
        self._stopping = stopping
        self._closing = Event()
        self._incarnation = token_hex(8)
        self._gateway, self._gateway_inbox = open_memory_channel[GatewayEvent](
            GATEWAY_INBOX_SIZE
        )
        self._control, self._control_inbox = open_memory_channel[ControlTaskEvent](
            CONTROL_INBOX_SIZE
        )
        self._peer_client, self._peer_client_inbox = open_memory_channel[
            PeerClientEvent
        ](PEER_CLIENT_INBOX_SIZE)
        self._owner_by_database: dict[str, MemorySendChannel[OwnerEvent]] = {}

    async def run(self) -> None:
        """Run all tasks until a graceful shutdown is complete."""
        async with open_nursery() as tasks:
            self._start_owners(tasks)
            self._start_control(tasks)
            self._start_peers(tasks)
            self._start_gateway(tasks)
            registration = InstanceRegistration(
                self._settings.platform_address, self._listing()
            )
            tasks.start_soon(registration.run, self._stopping)
            await self._serve()
            await wait_for_open_work(self._owner_by_database.values())
            await self._leave_view()
            tasks.cancel_scope.cancel()

    def _listing(self) -> InstanceListing:
        settings = self._settings
        return InstanceListing(settings.caller_address, settings.failure_domain, "live")

    def _start_owners(self, tasks: Nursery) -> None:
        for name, database in self._settings.database_by_name.items():
            self._owner_by_database[name] = self._start_owner(database, tasks)

    def _start_owner(
        self, database: DatabaseSettings, tasks: Nursery
    ) -> MemorySendChannel[OwnerEvent]:
        send, inbox = open_memory_channel[OwnerEvent](OWNER_INBOX_SIZE)
        owner = DatabaseOwner(
            database,
            self._incarnation,
            inbox,
            self._control.clone(),
            experiment=self._settings.experiment,
        )
        tasks.start_soon(owner.run)
        return send

    def _start_control(self, tasks: Nursery) -> None:
        settings = self._settings
        calls, call_inbox = open_memory_channel[PlatformCall](PLATFORM_INBOX_SIZE)
        client = PlatformClient(
            settings.platform_address,
            settings.platform_timeout_ms / 1000,
            call_inbox,
            self._control.clone(),
        )
        control = ControlTask(
            settings,
            self._incarnation,
            self._control_inbox,
            self._peer_client,
            calls,
            (self._gateway, *self._owner_by_database.values()),
            dict(self._owner_by_database),
        )
        tasks.start_soon(client.run)
        tasks.start_soon(control.run)
        tasks.start_soon(ControlTimer(self._control.clone()).run)

    def _start_peers(self, tasks: Nursery) -> None:
        peer_client = PeerClient(self._settings.peer_address, self._peer_client_inbox)
        server = PeerServer(self._settings.peer_address, self._create_stream)
        tasks.start_soon(peer_client.run)
        tasks.start_soon(server.run)

    def _create_stream(self, queue: FrameQueue) -> PeerServerStream:
        return PeerServerStream(
            queue, self._owner_by_database, self._control, self._gateway
        )

    def _start_gateway(self, tasks: Nursery) -> None:
        gateway = Gateway(
            self._settings.peer_address,
            self._gateway_inbox,
            self._gateway,
            self._owner_by_database,
            self._peer_client,
            SessionTokenCodec(self._settings.session_secret),
            self._settings.experiment,
        )
        tasks.start_soon(gateway.run)

    async def _serve(self) -> None:
        """Serve callers and operators until a graceful shutdown has drained them."""
        settings = self._settings
        budget = MemoryBudget(http_memory_limits(settings.memory_mb))
        callers = CallerHandler(self._gateway, self._stopping)
        admin = AdminHandler(self._control.clone(), self._settings.operator_key_hash)
        caller_listener = await listen(self._settings.caller_address)
        admin_listener = await listen(self._settings.admin_address)
        async with open_nursery() as servers:
            servers.start_soon(self._drain)
            servers.start_soon(
                HttpServer(
                    caller_listener,
                    callers.handle,
                    self._closing,
                    "http",
                    budget,
                    settings.max_connections,
                ).run
            )
            servers.start_soon(
                HttpServer(
                    admin_listener,
                    admin.handle,
                    self._closing,
                    "administration",
                    budget,
                    MAX_ADMINISTRATION_CONNECTIONS,
                ).run
            )

    async def _drain(self) -> None:
        """Transfer ownership at the shutdown, and close the listeners later.

        The load balancer sends new callers to this instance until it sees that the
        instance is leaving, so the listeners stay open for that time.
        """
        await self._stopping.wait()
        await self._control.send(BeginShutdown())
        await sleep(self._settings.drain_ms / 1000)
        self._closing.set()

    async def _leave_view(self) -> None:
        with CancelScope(shield=True, deadline=current_time() + LEAVE_TIMEOUT_S):
            await self._control.send(LeaveView())
            await sleep(LEAVE_TIMEOUT_S)
