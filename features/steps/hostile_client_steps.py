"""Steps for clients that do not behave."""

from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from behave import given, then, when
from behave.runner import Context
from features.support.hostile_crowd import HostileCrowd
from features.support.instance_process import InstanceProcess
from features.support.process_limits import (
    open_descriptors,
    peak_memory_mb,
    wait_until_idle,
)
from features.wire.platform_world import KEY, PlatformWorld
from features.wire.wire_caller import WireCaller
from trio import BrokenResourceError, TooSlowError, fail_after

IP = "127.0.77.8"
METRICS_PORT = 9464
START_TIMEOUT_S = 20.0
# An ordinary caller tries again after a refusal, as the ports of other instances do
# not exist here.
ATTEMPTS = 5
ANSWER_TIMEOUT_S = 10.0
LARGE = 1024 * 1024 - 100
START = f"START primary-db {KEY}\r\n".encode()
HEAD = b"POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
DATA_BY_TEXT = {
    "nothing": b"",
    "a handshake": START,
    "half a statement": START + b"QUERY 1 WRITE a " + b"x" * LARGE,
    "half a handshake": b"START " + b"x" * LARGE,
    "4 MiB without end": START + b"QUERY 1 WRITE a " + b"x" * 4 * 1024 * 1024,
    "a large statement": START + b"QUERY 1 WRITE a " + b"x" * LARGE + b"\r\n",
    "200 large values": START
    + b"".join(b"QUERY 1 SET n%d %s\r\n" % (n, b"x" * 64 * 1024) for n in range(200)),
    "8000 long names": START
    + b"".join(
        b"QUERY 1 PREPARE n%d%s READ %s\r\n" % (n, b"x" * 1024, b"y" * 1024)
        for n in range(8000)
    ),
    "a read of a large item, and read no answer": START + b"QUERY 1 READ large\r\n",
    "2000 reads ahead, and read no answer": START + b"QUERY 1 READ a\r\n" * 2000,
    "half a body": HEAD % LARGE + b"x" * (LARGE - 1),
    "half a chunked body": b"POST /v1/databases/d/read HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * (LARGE // 2),
    "half a frame": (2 * LARGE).to_bytes(4, "big") + b"x" * (2 * LARGE - 1),
}


@given("an instance process with {memory_mb:d} MB and {descriptors:d} descriptors")
def instance_process(context: Context, memory_mb: int, descriptors: int) -> None:
    """Start the process with low limits, and wait until it serves."""
    context.memory_mb, context.descriptors = memory_mb, descriptors
    context.ip = IP
    context.platform = PlatformWorld()
    # Statements of the crowd wait for a member instead of being refused.
    for route in context.platform.configuration["Routes"]:
        route.update(TimeoutMs=30_000, TargetLatencyMs=30_000)
    tenant = context.platform.configuration["Tenants"][0]
    tenant.update(RatePerS=10_000, Burst=10_000)
    context.platform.start()
    context.add_cleanup(context.platform.close)
    context.platform.kill(0)
    context.platform.group.item_by_name["large"] = "y" * LARGE
    session, readiness, peer, _ = context.platform.ports
    context.port_by_name = {
        "session": session,
        "readiness": readiness,
        "metrics": METRICS_PORT,
        "peer": peer,
    }
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.process = InstanceProcess(
        Path(folder.name), _settings(context), descriptors
    )
    context.add_cleanup(context.process.end)
    deadline = monotonic() + START_TIMEOUT_S
    while not _is_served(context):
        assert monotonic() < deadline, context.process.log[-2000:]
        sleep(0.1)


def _settings(context: Context) -> dict[str, str]:
    ports = context.port_by_name
    return {
        "NodeName": "i8",
        "Ip": IP,
        "Zone": "z1",
        "ListenAddrs.Front": f"{IP}:{ports['session']}",
        "ListenAddrs.Ready": f"{IP}:{ports['readiness']}",
        "InternalPorts": f"{ports['peer']},{ports['peer'] + 1}",
        "platform.Address": context.platform.store_address,
        "CloudApi.Address": context.platform.store_address,
        "Bootstrap": "true",
        "Limits.MemoryMb": str(context.memory_mb),
        "Limits.MaxFds": str(context.descriptors),
    }


def _crowd(context: Context, port: str = "session") -> HostileCrowd:
    crowd = HostileCrowd(f"{context.ip}:{context.port_by_name[port]}")
    context.add_cleanup(crowd.close)
    return crowd


def _is_served(context: Context) -> bool:
    """Run one read in a new session."""
    address = f"{IP}:{context.port_by_name['session']}"

    async def read() -> bool:
        with fail_after(ANSWER_TIMEOUT_S):
            caller = await WireCaller.open(address, "primary-db", KEY)
            if not caller.opened.startswith("READY"):
                return False
            answer = await caller.query("READ ordinary")
            return answer[0].startswith("ROW")

    try:
        return context.platform.call(read)
    except (OSError, BrokenResourceError, TooSlowError):
        return False


@given("{count:d} idle sessions")
def idle_sessions(context: Context, count: int) -> None:
    """Open sessions that stay idle."""
    _crowd(context).send(count, DATA_BY_TEXT["a handshake"])
    wait_until_idle(context.process.pid)


@when("{count:d} clients send {messages}")
def clients_send(context: Context, count: int, messages: str) -> None:
    """Let the crowd send to a port, by default to that of the sessions."""
    messages, _, port = messages.partition(" to the ")
    crowd = _crowd(context, port.removesuffix(" port") or "session")
    if messages.endswith(" and reset the connection"):
        messages = messages.removesuffix(" and reset the connection")
        crowd.reset(count, DATA_BY_TEXT[messages])
    else:
        reads = not messages.endswith("read no answer")
        crowd.send(count, DATA_BY_TEXT[messages], reads)
    wait_until_idle(context.process.pid)


@then("the process lives within its limits")
def lives_within_limits(context: Context) -> None:
    """Check the process, its largest memory and its descriptors."""
    process = context.process
    assert process.is_running, process.log[-2000:]
    memory_mb = peak_memory_mb(process.pid)
    descriptors = open_descriptors(process.pid)
    print(f"peak memory {memory_mb:.0f} MiB, descriptors {descriptors}")
    assert memory_mb <= context.memory_mb, f"{memory_mb:.0f} MiB"
    assert descriptors < context.descriptors, descriptors


@then("an ordinary request is answered")
def ordinary_request(context: Context) -> None:
    """The crowd still holds its connections."""
    assert any(_is_served(context) for _ in range(ATTEMPTS)), "not served"
    lives_within_limits(context)
