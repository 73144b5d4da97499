"""Steps for what the bench reads from members and the administration API."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context
from trio import Event, open_nursery, open_tcp_listeners, run

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from bench.check.read_database import read_database, read_log_texts
from bench.client.administration import create_workspace
from bench.launch.fleet import Fleet
from bench.launch.fleet_layout import FleetLayout
from bench.launch.process_set import ProcessSet
from bench.operations import sql
from bench.plans.deployments import SALTBUSH

from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.tasks.http_server import HttpServer

Answer = Callable[[str, dict], dict]
LOG = {"entries": [{"statements": [{"sql": "SELECT ?", "parameters": ["r77"]}]}]}


def _member(term: int, records: list[str]) -> Answer:
    def answer(target: str, body: dict) -> dict:
        if target == "/status":
            return {"role": "primary", "term": term}
        if target == "/log":
            return LOG if records else {"entries": []}
        if target != "/read":
            return {}
        rows = records if "claims ORDER" in body["statement"]["sql"] else []
        first, last = body["offset"], body["offset"] + body["page_rows"]
        page = [[record] for record in rows[first:last]]
        return {"columns": ["request"], "rows": page, "more": last < len(rows)}

    return answer


async def _serve(
    answers: list[Answer],
    seen: list[HttpRequest],
    use: Callable[[list[str]], Awaitable[object]],
) -> object:
    """Serve the answers on ports of their own while ``use`` runs."""

    def handler(answer: Answer):
        async def handle(request: HttpRequest) -> HttpResponse:
            seen.append(request)
            body = decode_json(request.body, dict).ok
            return HttpResponse(200, (), encode_json(answer(request.target, body)))

        return handle

    addresses = []
    async with open_nursery() as nursery:
        for answer in answers:
            listener = (await open_tcp_listeners(0, host="127.0.0.1"))[0]
            addresses.append(f"127.0.0.1:{listener.socket.getsockname()[1]}")
            server = HttpServer(listener, handler(answer), Event())
            nursery.start_soon(server.run)
        result = await use(addresses)
        nursery.cancel_scope.cancel()
    return result


def _fleet(addresses: list[str], processes: ProcessSet) -> Fleet:
    members = {f"swap1-{n}": address for n, address in enumerate(addresses, 1)}
    layout = FleetLayout("", {"swap1": members}, {}, "", "")
    return Fleet(SALTBUSH, layout, processes, {})


@given("a replaced primary without records and a primary with {count:d} records")
def two_primaries(context: Context, count: int) -> None:
    """Prepare two members that both take themselves for the primary."""
    context.answers = [_member(1, []), _member(2, [f"r{n}" for n in range(count)])]
    context.seen = []


@given("two replicas of which the second becomes primary after {count:d} questions")
def replicas(context: Context, count: int) -> None:
    """Prepare a promotion that ends after some questions."""
    context.seen = []

    def second(target: str, body: dict) -> dict:
        promoted = len(context.seen) > 2 * count
        return {"role": "primary" if promoted else "replica", "term": 2}

    def first(target: str, body: dict) -> dict:
        return {"role": "replica", "term": 1}

    context.answers = [first, second]


@when("the bench asks for the primary")
def asks_primary(context: Context) -> None:
    """Ask while the promotion goes on."""

    async def use(addresses: list[str]) -> object:
        with TemporaryDirectory() as path, ProcessSet(Path(path)) as processes:
            return await _fleet(addresses, processes).primary("swap1")

    context.primary = run(_serve, context.answers, context.seen, use)


@then("it is told the second member")
def told_second(context: Context) -> None:
    """Compare the name."""
    assert context.primary == "swap1-2", context.primary


@when("the checker reads the database")
def read(context: Context) -> None:
    """Read the database as after a run."""

    async def use(addresses: list[str]) -> object:
        with TemporaryDirectory() as path, ProcessSet(Path(path)) as processes:
            return await read_database(_fleet(addresses, processes), "swap1")

    context.contents = run(_serve, context.answers, context.seen, use)


@when("the checker reads the logs")
def read_logs(context: Context) -> None:
    """Read the logs as after a run."""

    async def use(addresses: list[str]) -> object:
        with TemporaryDirectory() as path, ProcessSet(Path(path)) as processes:
            return await read_log_texts(_fleet(addresses, processes))

    context.texts, context.unread = run(_serve, context.answers, context.seen, use)


@then("it has found {count:d} records")
def found(context: Context, count: int) -> None:
    """Check the contents."""
    assert context.contents.error == "", context.contents.error
    assert len(set(context.contents.records)) == count


@then("it has connected before it read")
def connected(context: Context) -> None:
    """Check the order of the calls."""
    targets = [request.target for request in context.seen]
    assert targets.index("/connect") < targets.index("/read"), targets
    sqls = [request.body for request in context.seen if request.target == "/read"]
    expected = sql.RECORDS_BY_DEPLOYMENT["saltbush"].encode()
    assert sum(expected in body for body in sqls) == 2, "two pages"


@then("the request id inside the statements of the log is found")
def logged(context: Context) -> None:
    """Check the texts."""
    assert "r77" in context.texts and context.unread == [], context.unread


@given("an administration API")
def administration(context: Context) -> None:
    """Prepare an API that hands out one key."""
    context.answers = [lambda target, body: {"key": "k1", "key_id": "i1"}]
    context.seen = []


@when("the bench creates a workspace")
def create(context: Context) -> None:
    """Create the first workspace of Saltbush."""

    async def use(addresses: list[str]) -> object:
        workspace = SALTBUSH.workspaces[0]
        return await create_workspace(addresses[0], "credential", workspace)

    context.key = run(_serve, context.answers, context.seen, use)


@then("the operator's credential came with every request")
def credential(context: Context) -> None:
    """Check targets, limits and credential."""
    targets = [request.target for request in context.seen]
    garden = "/v1/workspaces/garden1"
    assert targets == ["/v1/workspaces", f"{garden}/keys"], targets
    body = decode_json(context.seen[0].body, dict[str, object]).ok
    limits = {"rate": 200.0, "burst": 100, "weight": 1.0}
    assert body == {"name": "garden1", **limits}, body
    headers = {request.headers["authorization"] for request in context.seen}
    assert headers == {"Bearer credential"}, headers


@then("the bench has the key")
def has_key(context: Context) -> None:
    """Check the key."""
    assert context.key == "k1", context.key
