"""Steps that send bad input over a caller's connection."""

from collections.abc import Awaitable, Callable
from hashlib import sha256
from typing import Any

from behave import then, when
from behave.runner import Context
from features.fakes.caller import Caller
from features.fakes.owner_script import play
from features.fakes.owner_world import OwnerWorld, snapshot
from trio import Event, Nursery, current_time, open_memory_channel, open_nursery, sleep
from trio.testing import lockstep_stream_pair, memory_stream_pair

from jackdawspread.codecs.http_server_codec import MAX_BODY_BYTES
from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember
from jackdawspread.tasks.caller_handler import CallerHandler
from jackdawspread.tasks.gateway import Gateway
from jackdawspread.tasks.http_server_connection import HttpServerConnection

ADDRESS = "127.0.0.1:9"
READ = "/v1/databases/swap/read"
BEGIN = "/v1/databases/swap/transactions"
BODY = {"sql": "claim"}
KEY, OTHER_KEY = {"Authorization": "Bearer k1"}, {"Authorization": "Bearer k2"}
Reply = tuple[int, dict[str, Any]]
BadInput = Callable[["GatewayHarness"], Awaitable[Reply]]


class GatewayHarness:
    """Gateway with one owner, and the connections of the caller under test."""

    def __init__(self, world: OwnerWorld, nursery: Nursery) -> None:
        self.world, self.nursery = world, nursery
        self.ended = Event()

    async def start(self) -> None:
        """Start the gateway with keys of two workspaces."""
        await self.world.add_owner()
        keys = {
            sha256(f"k{n}".encode()).hexdigest(): {
                "workspace": f"w{n}",
                "withdrawn": False,
            }
            for n in (1, 2)
        }
        workspace = {"overrides": {}, "databases": []}
        control_snapshot = snapshot(
            key_by_id=keys,
            workspace_by_name={"w1": workspace, "w2": workspace},
            head_office=initial_configuration()["head_office"],
        )._replace(
            unsettled_views=(View(1, {"i0": ViewMember(ADDRESS, "perth")}),),
            owner_addresses_by_database={"swap": (ADDRESS,)},
        )
        events, inbox = open_memory_channel[Any](100)
        peer_client, self._peer_inbox = open_memory_channel[Any](100)
        owners = {"swap": self.world.inboxes[0]}
        tokens = SessionTokenCodec("secret")
        gateway = Gateway(ADDRESS, inbox, events, owners, peer_client, tokens)
        self.nursery.start_soon(gateway.run)
        self._handler = CallerHandler(events, Event())
        for channel in (events, self.world.inboxes[0]):
            await channel.send(control_snapshot)
        # The rate bucket of a joining instance is empty at first.
        await sleep(1)

    def connect(self, pair: Any = memory_stream_pair, ended: Any = None) -> Caller:
        """Open a connection."""
        client, server = pair()
        connection = HttpServerConnection(server, self._handler.handle, Event())

        async def serve() -> None:
            await connection.run()
            if ended is not None:
                ended.set()

        self.nursery.start_soon(serve)
        return Caller(client)

    async def read(self, caller: Caller) -> None:
        """Check that a read of a caller is answered within a second."""
        started = current_time()
        status, body = await caller.ask("POST", READ, BODY, **KEY)
        assert status == 200 and current_time() - started < 1, (status, body)


async def use_foreign_transaction(harness: GatewayHarness) -> Reply:
    """Begin a transaction in one workspace and use it in another."""
    _, begun = await harness.caller.ask("POST", BEGIN, **KEY)
    target = f"/v1/transactions/{begun['transaction_id']}/statements"
    refused = await harness.caller.ask("POST", target, BODY, **OTHER_KEY)
    own = await harness.caller.ask("POST", target, BODY, **KEY)
    assert own[0] == 200, own
    return refused


async def read_until_deadline(harness: GatewayHarness) -> Reply:
    """Read with a deadline before which no member answers."""
    for member in harness.world.members.values():
        member.is_unreachable = True
    reply = await harness.caller.ask("POST", READ, BODY, Deadline_Ms="20", **KEY)
    for member in harness.world.members.values():
        member.is_unreachable = False
    await sleep(5)
    return reply


async def send_head_slowly(harness: GatewayHarness) -> Reply:
    """Send one byte per second until the connection ends."""
    started = current_time()
    for byte in b"GET /healthz HTTP/1.1\r\nHost: a\r\n":
        if harness.ended.is_set():
            break
        await harness.caller.stream.send_all(bytes([byte]))
        await harness.read(harness.connect())
        await sleep(1)
    assert 10 <= current_time() - started < 13, current_time() - started
    return await harness.caller.receive()


async def send_without_reading(harness: GatewayHarness) -> Reply:
    """Send a request and read nothing until the connection ends."""
    head = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
    harness.caller = harness.connect(lockstep_stream_pair, harness.ended)
    await harness.caller.stream.send_all(head)
    started = current_time()
    await harness.read(harness.connect())
    await harness.ended.wait()
    assert 30 <= current_time() - started < 32, current_time() - started
    return 0, {}


async def send_large_body(harness: GatewayHarness) -> Reply:
    """Send a body above the size limit."""
    size = MAX_BODY_BYTES + 1
    return await harness.caller.ask("POST", READ, "x" * size, **KEY)


def single_request(
    method: str, target: str, body: Any = None, **headers: str
) -> BadInput:
    """Return a bad input that consists of one request."""

    async def send(harness: GatewayHarness) -> Reply:
        return await harness.caller.ask(method, target, body, **headers)

    return send


INPUTS: dict[str, BadInput] = {
    "a request without a key": single_request("POST", READ, BODY),
    "a request with a wrong key": single_request(
        "POST", READ, BODY, Authorization="Bearer x"
    ),
    "a session token that is not ASCII": single_request(
        "POST", READ, BODY, Session_Token="\xe9", **KEY
    ),
    "a HEAD request": single_request("HEAD", "/healthz"),
    "a CONNECT request": single_request("CONNECT", "/healthz"),
    "a body that is too large": send_large_body,
    "a statement in a foreign transaction": use_foreign_transaction,
    "a read with a deadline that expires": read_until_deadline,
    "a head one byte per second": send_head_slowly,
    "a request and reads no answer": send_without_reading,
}


@when("bad input arrives: {input}")
def send_bad_input(context: Context, input: str) -> None:
    """Send the input, then valid requests on this and another connection."""

    async def script(world: OwnerWorld) -> None:
        async with open_nursery() as nursery:
            harness = GatewayHarness(world, nursery)
            await harness.start()
            other = harness.connect()
            harness.caller = harness.connect(ended=harness.ended)
            await harness.read(other)
            context.reply = await INPUTS[input](harness)
            await sleep(0.1)
            context.is_over = harness.ended.is_set()
            if not context.is_over:
                await harness.read(harness.caller)
            await harness.read(other)
            context.is_other_answered = True
            nursery.cancel_scope.cancel()

    play(context, script)


@then("it is answered with {status:d} {code}")
def answered(context: Context, status: int, code: str) -> None:
    """Compare the status and the code of the answer."""
    found, body = context.reply
    assert found == status, context.reply
    assert body.get("code", "nothing") == code, body


@then("its connection {state}")
def connection_state(context: Context, state: str) -> None:
    """Check whether the connection was still usable."""
    assert context.is_over == (state == "ends"), context.is_over


@then("another caller is answered in time")
def other_answered(context: Context) -> None:
    """Check that the other connection was served after the bad input."""
    assert context.is_other_answered
