"""Two control tasks connected by memory channels, for use with a mock clock."""

from features.fakes.control_instance import instance_settings
from features.fakes.fake_platform import FakePlatform
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    current_time,
    open_memory_channel,
)

from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.tasks.control_task import ControlTask, ControlTaskEvent
from jackdawspread.tasks.control_timer import ControlTimer

ADDRESSES = ("127.0.0.1:3", "127.0.0.2:3")


class ControlPair:
    """Runs two control tasks.

    ``is_cut`` partitions them from each other and from the platform.
    """

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.is_cut = False
        self.polls = 0
        self.snapshot_by_address: dict[str, ControlSnapshot] = {}
        self._inbox_by_address: dict[str, MemorySendChannel[ControlTaskEvent]] = {}

    def start(self, nursery: Nursery) -> None:
        """Start both tasks in a nursery."""
        for number, address in enumerate(ADDRESSES):
            send, inbox = open_memory_channel[ControlTaskEvent](1000)
            self._inbox_by_address[address] = send
            peers, peer_inbox = open_memory_channel[SendPeerMessage](1000)
            calls, call_inbox = open_memory_channel[PlatformCall](16)
            snapshots, snapshot_inbox = open_memory_channel[ControlSnapshot](1000)
            settings = instance_settings("127.0.0.1:9")
            settings = settings._replace(peer_address=address)
            name = f"incarnation{number}"
            task = ControlTask(settings, name, inbox, peers, calls, (snapshots,), {})
            nursery.start_soon(task.run)
            nursery.start_soon(ControlTimer(send).run)
            nursery.start_soon(self._peer_client, address, peer_inbox)
            nursery.start_soon(self._answer, send, call_inbox)
            nursery.start_soon(self._store_snapshots, address, snapshot_inbox)

    def authority_left(self) -> list[float]:
        """Return the seconds of authority in the last snapshot of each task."""
        return [
            self.snapshot_by_address[address].authority_deadline - current_time()
            for address in ADDRESSES
        ]

    async def _peer_client(
        self, address: str, sends: MemoryReceiveChannel[SendPeerMessage]
    ) -> None:
        async for send in sends:
            if not self.is_cut:
                received = PeerMessageReceived(address, send.message)
                await self._inbox_by_address[send.peer_address].send(received)

    async def _answer(
        self,
        outcomes: MemorySendChannel[ControlTaskEvent],
        calls: MemoryReceiveChannel[PlatformCall],
    ) -> None:
        async for call in calls:
            self.polls += call.target == "/table/read"
            status, body = 0, {}
            if not self.is_cut:
                status, body = self.platform.call(call.target, call.body)
            await outcomes.send(PlatformOutcome(call.id, status, body, True))

    async def _store_snapshots(
        self, address: str, snapshots: MemoryReceiveChannel[ControlSnapshot]
    ) -> None:
        async for snapshot in snapshots:
            self.snapshot_by_address[address] = snapshot
