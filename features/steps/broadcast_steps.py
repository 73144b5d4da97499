"""Steps for broadcasts between instances."""

from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread
from trio import Event, open_memory_channel

from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.tasks.fleet.peer_datagrams import PeerDatagrams

INBOX = 10
ADDRESS = "10.0.0.{}:7"


class _SlowSocket:
    """Socket that sends each datagram only when it is told to."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, int]] = []
        self.may_send = Event()

    async def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Record the address after waiting."""
        self.sent.append(address)
        await self.may_send.wait()


@given("an instance that broadcasts to two others")
def broadcasts(context: Context) -> None:
    """Start a broadcast, whose first datagram waits."""
    inboxes = [open_memory_channel(INBOX) for _ in range(10)]
    # The receiving ends are kept, as a channel without one is broken.
    context.inboxes = inboxes
    inbox = inboxes[0][1]
    outboxes = [send for send, _ in inboxes[1:]]
    entry = InstanceEntry(ADDRESS.format(1), "z1")
    context.socket = _SlowSocket()
    others = {f"i{n}": InstanceEntry(ADDRESS.format(n), "z1") for n in (1, 2, 3)}
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.ended = False

    async def broadcast() -> None:
        context.peers = PeerDatagrams("i1", entry, inbox, *outboxes)
        context.peers._socket = context.socket
        await context.peers._handle(PeersSeen(others))
        message = ConfigurationConfirmed(1, 1.0)
        await context.peers._handle(BroadcastDatagram(message, False))
        context.ended = True

    context.thread.start(broadcast)
    context.thread.advance(0.01)


@when("a third one makes itself known between the two datagrams")
def makes_itself_known(context: Context) -> None:
    """Deliver a list that the instance relays, then let the broadcast go on."""

    async def deliver() -> None:
        relayed = MembersRelayed("i4", "z1", 1.0, ())
        context.peers._deliver(relayed, ADDRESS.format(4))
        context.socket.may_send.set()

    context.thread.call(deliver)
    context.thread.advance(0.01)


@then("the broadcast goes on to the second")
def goes_on(context: Context) -> None:
    """Compare the addresses."""
    hosts = [host for host, _ in context.socket.sent]
    assert context.ended and hosts == ["10.0.0.2", "10.0.0.3"], hosts
