"""Steps for the connections that a fleet shares through pool hosts."""

from functools import partial
from socket import SO_RCVBUF, SOL_SOCKET, socket
from time import sleep as block_thread

from behave import given, then, when
from behave.runner import Context
from features.fakes.pool_host_pair import REPLY, PoolHostPair, lease_request
from features.support.log_lines import collect_log_lines
from features.support.trio_thread import TrioThread
from features.wire.platform_world import FAILURE_DOMAINS, GROUP, INSTANCE_IP
from trio import (
    SocketStream,
    current_time,
    fail_after,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
    serve_listeners,
    sleep,
    to_thread,
)

from jackdawspread.codecs.pool_host_frames import PoolHostFrames, encode_frame
from jackdawspread.decisions.members.exchange_observation import observe_exchange
from jackdawspread.decisions.pool_hosts.choose_pool_hosts import (
    choose_pool_hosts,
    rank_pool_hosts,
)
from jackdawspread.decisions.sessions.member_outcomes import execution_status
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.pool_hosts.exchange_answered import ExchangeAnswered
from jackdawspread.messages.pool_hosts.exchange_failed import ExchangeFailed
from jackdawspread.messages.pool_hosts.exchange_requested import ExchangeRequested
from jackdawspread.messages.pool_hosts.host_draining import HostDraining
from jackdawspread.messages.pool_hosts.host_link_opened import HostLinkOpened
from jackdawspread.messages.pool_hosts.lease_granted import LeaseGranted
from jackdawspread.messages.pool_hosts.lease_refused import LeaseRefused
from jackdawspread.messages.pool_hosts.lease_released import LeaseReleased
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.pool_hosts.link_probe import LinkProbe
from jackdawspread.messages.pool_hosts.primary_confirmed import PrimaryConfirmed
from jackdawspread.messages.pool_hosts.write_stalled import WriteStalled
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.commit_transaction import CommitTransaction
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.execute_prepared import ExecutePrepared
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.prepare_statement import PrepareStatement
from jackdawspread.messages.statements.read_item import ReadItem
from jackdawspread.messages.statements.reset_session import ResetSession
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.messages.statements.set_value import SetValue
from jackdawspread.messages.statements.write_item import WriteItem
from jackdawspread.tasks.members.run_exchange import run_exchange
from jackdawspread.tasks.pool_hosts.pool_host_link import PoolHostLink

WORKSPACE = "w1"
KEY = "key-of-w1"
GROUPS = ("ledger", "books", "limits")
# A stream to a host opens within this time on loopback.
WARM_UP_ATTEMPTS = 10
LINK_OPENING_S = 0.5
# Time after which the slow host answers an exchange.
ANSWER_DELAY_S = 0.1
# Small enough that the sender notices how slowly the host reads, in bytes.
RECEIVE_BUFFER = 16 * 1024
READS_PER_S = 20
STATEMENTS = (
    BeginTransaction(True),
    CommitTransaction(),
    RollbackTransaction(),
    ReadItem("1a4"),
    WriteItem("1a4 data with blanks"),
    SetValue("name", "value"),
    PrepareStatement("s1", True, "q2c"),
    ExecutePrepared("s1", "1a4"),
    ResetSession(),
)


def entries(instances: int, domains: tuple[str, ...]) -> dict[str, InstanceEntry]:
    """Return a list of instances as the instances of a PlatformWorld register it."""
    by_instance = {}
    for number in range(instances):
        ip = INSTANCE_IP.format(number + 1)
        entry = InstanceEntry(f"{ip}:7", domains[number % len(domains)])
        by_instance[f"i{number + 1}@{ip}"] = entry
    return by_instance


@given("the lists of 4, 26, 78 and 300 instances in 5 failure domains")
def lists(context: Context) -> None:
    """Make one list for each size of fleet."""
    domains = ("a", "b", "c", "d", "e")
    context.list_by_size = {size: entries(size, domains) for size in (4, 26, 78, 300)}


@then("the fleet of 4 instances has no pool hosts")
def no_hosts(context: Context) -> None:
    """A small fleet keeps its own connections."""
    assert choose_pool_hosts(GROUP, context.list_by_size[4]) == ()


@then("larger fleets have 4 hosts for each group, in 4 failure domains")
def hosts_in_domains(context: Context) -> None:
    """Check the number of hosts and of their failure domains."""
    for size in (26, 78, 300):
        by_instance = context.list_by_size[size]
        for group in GROUPS:
            hosts = choose_pool_hosts(group, by_instance)
            domains = {by_instance[host].failure_domain for host in hosts}
            assert len(hosts) == len(domains) == 4, (size, group, hosts)


@then("two instances whose lists are ordered differently choose the same hosts")
def same_hosts(context: Context) -> None:
    """Compare the choices over a list and its reverse."""
    for by_instance in context.list_by_size.values():
        reverse = dict(reversed(by_instance.items()))
        for group in GROUPS:
            hosts = choose_pool_hosts(group, by_instance)
            assert hosts == choose_pool_hosts(group, reverse)


@when("each instance has run a write of the same workspace")
def warm_up(context: Context) -> None:
    """Let the streams to the pool hosts open."""
    hosts = choose_pool_hosts(GROUP, entries(context.instances, FAILURE_DOMAINS))
    first = (*rank_pool_hosts(WORKSPACE, hosts), "i1@")[0]
    context.host = int(first.partition("@")[0].removeprefix("i")) - 1
    for number in range(context.instances):
        _write_once(context, number)
    context.platform.call(sleep, LINK_OPENING_S)
    context.connections = context.platform.connections()


def _write_once(context: Context, number: int) -> None:
    """Write at an instance; a write that is refused as not run is sent again.

    It may have to open a connection, and is refused if that takes longer than the
    latency target of its route, for example because this process did not run.
    """
    caller = context.platform.open("primary-db", KEY, number)
    for _ in range(WARM_UP_ATTEMPTS):
        answer = context.platform.query(caller, f"WRITE w{number} 0")
        if not answer[-2].startswith("ERR BUSY"):
            break
    assert "DONE" in answer[-2], answer


@when("each instance runs {writes:d} more writes of the same workspace")
def write_everywhere(context: Context, writes: int) -> None:
    """Write at each instance in turn."""
    for number in range(context.instances):
        caller = context.platform.open("primary-db", KEY, number)
        for write in range(writes):
            answer = context.platform.query(caller, f"WRITE w{number} {write}")
            assert "DONE" in answer[-2], answer


@then("the members have accepted at most {most:d} connections for them")
def few_connections(context: Context, most: int) -> None:
    """Count the connections since the streams were open."""
    opened = context.platform.connections() - context.connections
    assert opened <= most, opened


@when("two instances run transactions with session values at the same time")
def two_transactions(context: Context) -> None:
    """Interleave the statements of two transactions."""
    numbers = [n for n in range(context.instances) if n != context.host][:2]
    callers = [context.platform.open("primary-db", KEY, n) for n in numbers]
    texts = ("SET owner {}", "BEGIN", "WRITE a{} 1", "WRITE b{} 1", "COMMIT")
    for text in texts:
        for number, caller in enumerate(callers):
            answer = context.platform.query(caller, text.format(number))
            assert "DONE" in answer[-2], answer


@then("each transaction ran on one connection with its own values")
def isolated(context: Context) -> None:
    """Compare the connections and the values of the statements in transactions."""
    runs = [run for run in context.platform.group.runs if run.in_transaction]
    for number in range(2):
        own = [run for run in runs if run.values.get("owner") == str(number)]
        assert len(own) == 3, runs
        assert len({run.connection for run in own}) == 1, own


@when("the pool host of the workspace is killed")
def kill_host(context: Context) -> None:
    """End the instance at once."""
    context.platform.kill(context.host)


@when("the pool host of the workspace is stopped")
def stop_host(context: Context) -> None:
    """Begin its graceful shutdown."""
    context.platform.stop(context.host)


@then("every other instance still runs a write of the workspace")
def others_write(context: Context) -> None:
    """Write once at each instance but the host."""
    for number in range(context.instances):
        if number != context.host:
            caller = context.platform.open("primary-db", KEY, number)
            answer = context.platform.query(caller, f"WRITE x{number} 1")
            assert "DONE" in answer[-2], answer


@when("a caller at another instance has written in a transaction")
def open_transaction(context: Context) -> None:
    """Leave the transaction open."""
    _write_in_transaction(context, (context.host + 1) % context.instances)


@when("a caller has written in a transaction at a connection of a pool host")
def transaction_at_host(context: Context) -> None:
    """Leave the transaction open at the first instance that uses one of a host.

    On a busy machine messages between failure domains take longer, so that other
    instances become hosts, which use their own connections.
    """
    context.database = "primary-db"
    for instance in range(context.instances):
        context.caller_instance = instance
        with collect_log_lines() as lines:
            _write_in_transaction(context, instance)
        own = [line for line in lines if f"id={context.caller.last_id}" in line]
        if " host=" in own[0]:
            return
        assert "DONE" in context.platform.query(context.caller, "ROLLBACK")[-2]
    raise AssertionError("every instance used its own connection")


def _write_in_transaction(context: Context, instance: int) -> None:
    context.caller = context.platform.open("primary-db", KEY, instance)
    for text in ("BEGIN", "WRITE kept 1"):
        answer = context.platform.query(context.caller, text)
        assert "DONE" in answer[-2], answer


@then("the open transaction commits")
def commits(context: Context) -> None:
    """Commit and look for the write."""
    answer = context.platform.query(context.caller, "COMMIT")
    assert "DONE" in answer[-2], answer
    assert context.platform.group.item_by_name["kept"] == "1"


@given("a stream to a pool host that answers a write after {ms:d} ms")
def slow_host(context: Context, ms: int) -> None:
    """Run a stream against a host that answers late."""
    assert ms == 1000 * ANSWER_DELAY_S
    context.probes = []

    async def serve(stream: SocketStream) -> None:
        # The host runs in a thread of its own, as it does not stop with the instance.
        descriptor = stream.socket.detach()
        await to_thread.run_sync(_serve_blocking, descriptor, context.probes)

    open_link(context, serve)


@when("this process does not run for {ms:d} ms after it has forwarded a write")
def not_running(context: Context, ms: int) -> None:
    """Block the event loop while the answer is on its way, then let it read."""

    async def forward() -> None:
        command = MemberCommand("c1", WriteItem("a 1"))
        async with open_nursery() as nursery:
            nursery.start_soon(_block, ms / 1000)
            context.outcome = await run_exchange(
                context.lease, (command,), current_time() + 0.5
            )

    context.thread.call(forward)


async def _block(seconds: float) -> None:
    await sleep(0.05)
    block_thread(seconds)


@when("a write is forwarded to it and {ms:d} ms pass after its answer")
def write_and_wait(context: Context, ms: int) -> None:
    """Leave the stream idle after the write."""

    async def forward() -> None:
        command = MemberCommand("c1", WriteItem("a 1"))
        await run_exchange(context.lease, (command,), current_time() + 1)
        await sleep(ms / 1000)

    context.thread.call(forward)


@then("the pool host has received no probe")
def no_probe(context: Context) -> None:
    """Count the probes."""
    assert not context.probes, context.probes


@then("the write has the host's answer")
def has_answer(context: Context) -> None:
    """The answer arrived although its deadline had passed meanwhile."""
    assert isinstance(context.outcome, MemberReply), context.outcome


@given("a stream to a pool host that grants leases and answers nothing else")
def silent_host(context: Context) -> None:
    """Run a stream against a host that is frozen after it has granted a lease."""
    open_link(context, _grant_only)


def open_link(context: Context, serve, receive_buffer: int = 0) -> None:
    """Open a stream to a host that is served by ``serve``, and lease a connection."""
    context.thread = TrioThread(real_time=True)
    context.add_cleanup(context.thread.stop)
    broker, context.broker_inbox = open_memory_channel(10)
    router, context.router_inbox = open_memory_channel(10)
    context.inboxes = broker, router
    context.thread.start(_run_link, context, serve, receive_buffer)
    context.thread.call(_await_lease, context)


async def _run_link(context: Context, serve, receive_buffer: int) -> None:
    (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
    if receive_buffer:
        listener.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_buffer)
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    async with open_nursery() as nursery:
        nursery.start_soon(serve_listeners, serve, [listener])
        nursery.start_soon(PoolHostLink("i2", address, *context.inboxes).run)


async def _await_lease(context: Context) -> None:
    with fail_after(2):
        opened = await context.broker_inbox.receive()
    assert isinstance(opened, HostLinkOpened), opened
    context.link = opened.link
    context.lease = await _request_lease(context)


async def _grant_only(stream) -> None:
    frames = PoolHostFrames()
    granted = False
    while data := await stream.receive_some(4096):
        frames.receive(data)
        while (message := frames.next_message()) is not None:
            if not granted:
                granted = True
                context = ConnectionContext({}, frozenset())
                grant = LeaseGranted(
                    message.lease, "m0", GROUP, context, True, None, 0.0
                )
                await stream.send_all(encode_frame(grant))


@given("a stream to a pool host that reads {rate:d} kB/s")
def narrow_host(context: Context, rate: int) -> None:
    """Run a stream against a host behind a narrow link."""
    open_link(context, partial(_read_slowly, rate), receive_buffer=RECEIVE_BUFFER)


async def _read_slowly(rate: int, stream) -> None:
    frames = PoolHostFrames()
    while data := await stream.receive_some(rate * 1000 // READS_PER_S):
        await sleep(1 / READS_PER_S)
        frames.receive(data)
        while (message := frames.next_message()) is not None:
            if isinstance(message, LeaseRequested):
                values = ConnectionContext({}, frozenset())
                granted = (message.lease, "m0", GROUP, values, True, None, 0.0)
                await stream.send_all(encode_frame(LeaseGranted(*granted)))
            elif isinstance(message, ExchangeRequested):
                answer = ExchangeAnswered(message.exchange, REPLY)
                await stream.send_all(encode_frame(answer))


@when("a write of {size:d} kB is forwarded to it")
def forward_large_write(context: Context, size: int) -> None:
    """Wait for the outcome of the write."""
    command = MemberCommand("c1", WriteItem("a " + size * 1000 * "x"))

    async def forward() -> None:
        deadline = current_time() + 10
        context.outcome = await run_exchange(context.lease, (command,), deadline)

    context.thread.call(forward)


def _serve_blocking(descriptor: int, probes: list[LinkProbe]) -> None:
    with socket(fileno=descriptor) as connection:
        connection.settimeout(2)
        frames = PoolHostFrames()
        while True:
            while (message := frames.next_message()) is None:
                data = connection.recv(4096)
                if not data:
                    return
                frames.receive(data)
            if isinstance(message, LeaseRequested):
                values = ConnectionContext({}, frozenset())
                answer = LeaseGranted(
                    message.lease, "m0", GROUP, values, True, None, 0.0
                )
            elif isinstance(message, ExchangeRequested):
                block_thread(ANSWER_DELAY_S)
                answer = ExchangeAnswered(message.exchange, REPLY)
            else:
                probes.append(message)
                continue
            connection.sendall(encode_frame(answer))


async def _request_lease(context: Context):
    send, receive = open_memory_channel(1)
    context.request = ConnectionRequest(
        GROUP,
        WORKSPACE,
        MemberRequirement.PRIMARY,
        "",
        1.0,
        None,
        frozenset(),
        1,
        current_time() + 5,
        True,
        send,
    )
    context.link.send_nowait(context.request)
    with fail_after(2):
        return await receive.receive()


@when("a write is forwarded to it")
def forward_write(context: Context) -> None:
    """Wait for the outcome of the write while another lease is requested."""
    context.thread.call(_forward_write, context)


async def _forward_write(context: Context) -> None:
    command = MemberCommand("c1", WriteItem("a 1"))
    send, _ = open_memory_channel(1)
    context.unanswered = context.request._replace(reply_to=send)
    context.link.send_nowait(context.unanswered)
    with fail_after(3):
        context.outcome = await run_exchange(
            context.lease, (command,), current_time() + 2
        )


@then("the write has an unknown outcome, and nothing is said about the member")
def unknown_outcome(context: Context) -> None:
    """Check what the caller is told and what the router hears."""
    assert isinstance(context.outcome, ExchangeFailure), context.outcome
    assert execution_status(context.outcome) is ExecutionStatus.UNKNOWN
    assert observe_exchange(context.outcome, context.lease, 0.0) is None


@then("the request for a lease that it left unanswered is served by this instance")
def served_here(context: Context) -> None:
    """The router of this instance gets the request."""

    async def receive() -> object:
        with fail_after(2):
            return await context.router_inbox.receive()

    assert context.thread.call(receive) is context.unanswered


@then("nothing more is sent on the lost lease")
def lease_lost(context: Context) -> None:
    """An exchange on the lease of a lost stream has not run."""

    async def use() -> object:
        command = MemberCommand("c2", WriteItem("a 2"))
        return await run_exchange(context.lease, (command,), current_time() + 1)

    outcome = context.thread.call(use)
    assert execution_status(outcome) is ExecutionStatus.NOT_RUN, outcome


@given("a pool host with one lease in use by another instance")
def host_with_lease(context: Context) -> None:
    """Grant a lease over a raw stream and run an exchange on it."""
    context.thread = TrioThread(real_time=True)
    context.add_cleanup(context.thread.stop)
    context.pair = PoolHostPair()
    context.thread.start(context.pair.run)
    context.thread.call(_grant, context)


async def _grant(context: Context) -> None:
    while not context.pair.port:
        await sleep(0.01)
    context.other = await context.pair.connect()
    await context.pair.send(context.other, lease_request(1))
    granted = await context.pair.receive(context.other)
    assert isinstance(granted, LeaseGranted), granted


@when("the stream of the other instance breaks")
def break_stream(context: Context) -> None:
    """Close the stream while the lease is in use."""
    context.thread.call(context.pair.break_stream, context.other)


@then("the pool host closes the connection of the lease")
def connection_closed(context: Context) -> None:
    """The router must not use the connection again."""

    async def returned() -> None:
        with fail_after(2):
            while not context.pair.returned:
                await sleep(0.01)

    context.thread.call(returned)
    (event,) = context.pair.returned
    assert event.context is None, event


@when("a third instance sends a malformed frame")
def malformed(context: Context) -> None:
    """Send a frame whose content is not a message."""

    async def send() -> None:
        context.third = await context.pair.connect()
        await context.pair.send(context.third, b"\x00\x00\x00\x02\x91\xc1")

    context.thread.call(send)


@then("its stream is closed")
def stream_closed(context: Context) -> None:
    """The host ends the stream."""
    assert context.thread.call(context.pair.receive, context.third) is None


@then("the lease still runs exchanges")
def lease_usable(context: Context) -> None:
    """Run an exchange on the first lease."""

    async def exchange() -> object:
        commands = (MemberCommand("c1", ReadItem("a")),)
        request = ExchangeRequested(1, 5, commands, 1.0)
        await context.pair.send(context.other, request)
        return await context.pair.receive(context.other)

    assert context.thread.call(exchange) == ExchangeAnswered(5, REPLY)


@then("every statement that is forwarded is decoded unchanged")
def statements_unchanged(context: Context) -> None:
    """Encode and decode an exchange of all statements, byte by byte."""
    commands = tuple(
        MemberCommand(f"c{number}", statement, Position(3, number))
        for number, statement in enumerate(STATEMENTS)
    )
    message = ExchangeRequested(4, 9, commands, 0.25)
    frames = PoolHostFrames()
    for byte in encode_frame(message):
        frames.receive(bytes((byte,)))
    decoded = frames.next_message()
    assert decoded == message, decoded
    kinds = [type(command.statement) for command in decoded.commands]
    assert kinds == [type(statement) for statement in STATEMENTS], kinds


@then("every other message between an instance and a pool host too")
def messages_unchanged(context: Context) -> None:
    """Encode and decode one message of each kind."""
    values = ConnectionContext({"a": "1"}, frozenset({(True, "q")}))
    refusal = Refusal("busy", ExecutionStatus.NOT_RUN, "routing", "", "full", 20)
    for message in (
        lease_request(3),
        LeaseGranted(3, "m0", GROUP, values, False, Position(2, 5), 0.5),
        LeaseRefused(3, refusal),
        LeaseReleased(3, values),
        LeaseReleased(3, None),
        ExchangeAnswered(4, REPLY),
        ExchangeFailed(4, ExchangeFailure(True, "no answer in time", True)),
        PrimaryConfirmed(3, True),
        WriteStalled(3),
        LinkProbe(False),
        HostDraining(6.0),
    ):
        frames = PoolHostFrames()
        frames.receive(encode_frame(message))
        decoded = frames.next_message()
        assert decoded == message and type(decoded) is type(message), decoded


@when("it begins to stop while another request for a lease waits")
def stop_host_with_waiting_request(context: Context) -> None:
    """Keep the second request of the other instance waiting, then drain."""

    async def stop() -> None:
        context.pair.grants_leases = False
        await context.pair.send(context.other, lease_request(2))
        await sleep(0.1)
        context.pair.server.drain(6.0)

    context.thread.call(stop)


@then("the waiting request is refused, and the first lease is still awaited")
def waiting_refused(context: Context) -> None:
    """The other instance runs the operation on its own connections instead."""

    async def receive() -> list[object]:
        return [await context.pair.receive(context.other) for _ in range(2)]

    draining, refused = context.thread.call(receive)
    assert isinstance(draining, HostDraining), draining
    assert isinstance(refused, LeaseRefused), refused
    assert refused.lease == 2, refused
    assert refused.refusal.ran is ExecutionStatus.NOT_RUN, refused
    assert context.pair.server.has_leases
