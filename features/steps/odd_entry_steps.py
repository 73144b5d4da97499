"""Steps for odd entries in the store and odd datagrams of peers."""

import json
from os import getpid
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from behave import given, then, when
from behave.runner import Context
from features.support.instance_process import InstanceProcess
from features.wire.platform_world import (
    GROUP,
    KEY,
    PlatformWorld,
    initial_configuration,
)
from features.wire.wire_caller import WireCaller
from msgspec.msgpack import encode
from trio import BrokenResourceError
from trio.socket import SOCK_DGRAM, socket

from jackdawspread.platform.configuration_rows import decode_configuration

# The port of the metrics is fixed, so that runs beside each other need other addresses.
_RUN = f"127.{80 + getpid() // 65536 % 40}.{getpid() // 256 % 256}"
IP = f"{_RUN}.{1 + getpid() % 127}"
PEER_IP = f"{_RUN}.{128 + getpid() % 126}"
NESTED = b"[" * 10_000 + b"]" * 10_000
# Times of the store's clock in seconds that are always in the future.
END_OF_TIME_S = 1e300
TIMEOUT_S = 20.0
MEMBER = {
    "Service": GROUP,
    "Address": "127.0.0.1:9",
    "Zone": "z1",
    "State": "ready",
    "DbRole": "replica",
    "Slots": 2,
}


def _nested(document: dict) -> bytes:
    """Return a document with a deeply nested field that nobody reads."""
    return json.dumps(document).encode()[:-1] + b',"more":' + NESTED + b"}"


def _row(table: str, key: str, document: object) -> tuple[str, str, bytes]:
    value = document if isinstance(document, bytes) else json.dumps(document).encode()
    return table, key, value


def _lease(address: str, until: float) -> dict:
    return {"0": {"holder": "i8", "address": address, "until": until}}


OWN = "jackdawspread"
LOCK = {"token": 1, "holder": "", "until": 0.0, "ordered": ""}
INSTANCE = [f"{PEER_IP}:7", "z1"]
ROW_BY_TEXT = {
    "a deeply nested entry of a member": _row("servers", "odd", _nested(MEMBER)),
    "a member with 10^400 slots": _row("servers", "odd", {**MEMBER, "Slots": 10**400}),
    "a member at port 70000": _row(
        "servers", "odd", {**MEMBER, "Address": "127.0.0.1:70000"}
    ),
    "a member at a host name": _row(
        "servers", "odd", {**MEMBER, "Address": "localhost:80"}
    ),
    "a member of a group with a line break": _row(
        "servers", "odd", {**MEMBER, "Service": f"{GROUP}\r\nQUERY - STATUS"}
    ),
    "a row with a version too large for a number": _row("servers", "odd", MEMBER),
    "a deeply nested instance": _row(OWN, "instance-odd", NESTED),
    "an instance at port 70000": _row(OWN, "instance-odd", [f"{PEER_IP}:70000", "z1"]),
    "an instance at port -1": _row(OWN, "instance-odd", [f"{PEER_IP}:-1", "z1"]),
    "a deeply nested record of the rate leases": _row(OWN, "rate-leases", NESTED),
    "a rate lease of a holder at port 70000": _row(
        OWN, "rate-leases", _lease(f"{PEER_IP}:70000", 1.0)
    ),
    "a deeply nested promotion lock": _row(OWN, f"duty-{GROUP}", _nested(LOCK)),
    "a deeply nested marker of the epoch": _row(OWN, "epoch-1", NESTED),
}
LISTING = ("odd", GROUP, f"{PEER_IP}:70000", "z1", 1, False, False)
DATAGRAM_BY_TEXT = {
    "30000 nested arrays": b"\x91" * 30_000,
    "a list with a member at port 70000": encode((2, 4, "i8", "z1", 1.0, [LISTING])),
    "a list from the end of time": encode((2, 4, "i8", "z1", END_OF_TIME_S, [])),
    "rate leases of a holder at port -1": encode(
        (2, 3, 10**6, _lease(f"{PEER_IP}:-1", 1.0))
    ),
    "rate leases that never expire": encode(
        (2, 3, 10**6, {**_lease(f"{PEER_IP}:7", END_OF_TIME_S)})
    ),
    "a confirmation from the end of time": encode((2, 5, 3, END_OF_TIME_S)),
}


@given("stand-ins for the store and the members")
def stand_ins(context: Context) -> None:
    """Start the stand-ins; the instance that comes with them leaves no rows."""
    context.platform = PlatformWorld()
    context.platform.start()
    context.add_cleanup(context.platform.close)
    context.platform.kill(0)
    context.row = ""

    async def forget() -> None:
        rows = context.platform.store.rows
        for table, key in [name for name in rows if name[0] == OWN]:
            context.platform.store.delete(table, key)

    context.platform.call(forget)


def _put(context: Context, row: tuple[str, str, bytes]) -> None:
    async def put() -> None:
        context.platform.store.put(*row)

    context.platform.call(put)


@given("another writer has left {row}")
def has_left(context: Context, row: str) -> None:
    """Write the row before the instance starts."""
    context.row = row
    _put(context, ROW_BY_TEXT[row])
    if "version too large" in row:
        table, key, value = ROW_BY_TEXT[row]
        context.platform.store.rows[table, key] = (value, 10**400)


@when("another writer leaves a deeply nested configuration")
def leaves_configuration(context: Context) -> None:
    """Write a version that can't be read."""
    _put(context, _row("op", "config", _nested(context.platform.configuration)))


@when("an instance is started as a process")
def start_process(context: Context) -> None:
    """Start it at its own address, with the ports of the other one."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.process = InstanceProcess(Path(folder.name), _settings(context))
    context.add_cleanup(context.process.end)
    _wait(context, lambda: _answer(context, "READ a")[0].startswith("ROW"))


def _settings(context: Context) -> dict[str, str]:
    session, readiness, peer, _ = context.platform.ports
    context.address = f"{IP}:{session}"
    return {
        "NodeName": "i9",
        "Ip": IP,
        "Zone": "z1",
        "ListenAddrs.Front": context.address,
        "ListenAddrs.Ready": f"{IP}:{readiness}",
        "InternalPorts": f"{peer},{peer + 1}",
        "platform.Address": context.platform.store_address,
        "CloudApi.Address": context.platform.store_address,
        "Bootstrap": "true",
    }


def _answer(context: Context, text: str) -> list[str]:
    """Run a statement in a new session; a failed connection gives an empty line."""
    try:
        caller = context.platform.call(
            WireCaller.open, context.address, "primary-db", KEY
        )
        if not caller.opened.startswith("READY"):
            return [caller.opened]
        return context.platform.query(caller, text)
    except (OSError, BrokenResourceError):
        return [""]


def _wait(context: Context, condition) -> None:
    deadline = monotonic() + TIMEOUT_S
    while not condition():
        assert context.process.is_running, context.process.log[-2000:]
        assert monotonic() < deadline, context.process.log[-2000:]
        sleep(0.1)


@when("a peer sends {datagram}")
def peer_sends(context: Context, datagram: str) -> None:
    """Send it twice from the port of a peer."""
    port = context.platform.ports[2]

    async def send() -> None:
        with socket(type=SOCK_DGRAM) as peer:
            await peer.bind((PEER_IP, port))
            for _ in range(2):
                await peer.sendto(DATAGRAM_BY_TEXT[datagram], (IP, port))

    context.platform.call(send)


@then("it serves, follows the members and takes the next configuration")
def goes_on(context: Context) -> None:
    """Replace the primary, then withdraw the key, and check what callers get."""
    group = context.platform.group
    former = group.primary

    async def leave() -> None:
        group.leaving.add(former)
        group.register()

    context.platform.call(leave)
    if "promotion lock" not in context.row:
        _wait(context, lambda: group.primary != former)
    _wait(context, lambda: _answer(context, "WRITE a 1")[0].startswith("DONE"))
    context.platform.configuration["Tenants"][0]["ApiKeys"] = []
    context.platform.publish()
    _wait(context, lambda: _answer(context, "READ a")[0].startswith("ERR NOAUTH"))
    assert context.process.is_running


CHANGE_BY_TEXT = {
    "the version is 0": lambda c: c.update(Version=0),
    "the version is text": lambda c: c.update(Version="4"),
    "two routes have one database": lambda c: c["Routes"].append(
        {**c["Routes"][0], "Service": "other"}
    ),
    "a route has no group": lambda c: c["Routes"][0].update(Service=""),
    "a timeout is negative": lambda c: c["Routes"][0].update(TimeoutMs=-1),
    "a timeout is infinite": lambda c: c["Routes"][0].update(TimeoutMs=10**400),
    "a rate is negative": lambda c: c["Tenants"][0].update(RatePerS=-1),
    "two workspaces have one key": lambda c: c["Tenants"][1].update(ApiKeys=[KEY]),
    "two workspaces have one name": lambda c: c["Tenants"][1].update(Name="w1"),
    "a group allows no connection": lambda c: c["Services"][0].update(MaxConns=0),
}


@given("a valid configuration in which {change}")
def changed_configuration(context: Context, change: str) -> None:
    """Change one thing in a configuration that is taken without the change."""
    document = initial_configuration()
    assert decode_configuration(json.dumps(document).encode()).version == 3
    CHANGE_BY_TEXT[change](document)
    context.document = json.dumps(document).encode()


@then("the configuration is not taken")
def is_refused(context: Context) -> None:
    """Decode it."""
    try:
        taken = decode_configuration(context.document)
    except ValueError:
        return
    raise AssertionError(taken)


@when("a configuration is decoded whose group has {value} synchronous replicas")
def replicas_configured(context: Context, value: str) -> None:
    """Decode it."""
    document = initial_configuration()
    document["Services"][0]["SyncReplicas"] = json.loads(value)
    context.decoded = decode_configuration(json.dumps(document).encode())


@then("the group has {count:d} synchronous replicas")
def has_replicas(context: Context, count: int) -> None:
    """Compare the number."""
    found = context.decoded.group_by_name[GROUP].sync_replicas
    assert found == count, found
