"""Steps for the database member stand-in."""

from typing import Any

from behave import given, step, then, when
from behave.runner import Context

from support.member_cluster import MemberCluster

INSERT = "INSERT INTO claims VALUES (?, 1, 'w', ?) RETURNING id"


def split_names(text: str) -> list[str]:
    """Split a list such as "a, b and c"."""
    return text.replace(" and ", ", ").split(", ")


def write_body(id: str, term: int, amount: int = 1) -> dict[str, Any]:
    """Return the body of a write that inserts a claim."""
    return {
        "term": term,
        "workspace": "w",
        "request_id": id,
        "digest": f"digest-{amount}",
        "statements": [{"sql": INSERT, "parameters": [id, amount]}],
    }


def read_body(sql: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a read."""
    return {"statement": {"sql": sql}, **fields}


@given("members a, b and c with a as the primary of term 1")
def start(context: Context) -> None:
    """Start the members."""
    context.cluster = MemberCluster()
    context.add_cleanup(context.cluster.trio.stop)
    context.cluster.promote("a", 1, "bc")
    context.answer_by_id = {}


@given("replication to {name} is stopped")
def cut_replication(context: Context, name: str) -> None:
    """Stop the fetches of one replica."""
    context.cluster.ok(name, "/fault", {"cut": ["a"]})
    context.cluster.trio.advance(0.1)


@given("replication to {name} is resumed")
def restore_replication(context: Context, name: str) -> None:
    """Let a replica fetch again."""
    context.cluster.ok(name, "/fault", {"cut": []})


@given("member a is isolated")
@given("member a is isolated from b and c")
def cut_off(context: Context) -> None:
    """Drop the answers of a to replicas; the proxy still reaches it."""
    context.cluster.ok("a", "/fault", {"cut": ["b", "c"]})
    context.cluster.trio.advance(0.1)


@step('the write "{id}" at {name} in term {term:d} succeeds')
def write(context: Context, id: str, name: str, term: int) -> None:
    """Write a claim."""
    answer = context.cluster.ok(name, "/write", write_body(id, term))
    assert not answer["replayed"] and answer["position"][0] == term, answer
    context.answer_by_id[id] = answer


@given('the write "{id}" at {name} in term {term:d} is confirmed by {other}')
def write_confirmed(
    context: Context, id: str, name: str, term: int, other: str
) -> None:
    """Write a claim and wait for the confirmation of a second member."""
    write(context, id, name, term)
    position = context.answer_by_id[id]["position"]
    body = {"term": term, "position": position, "wait_ms": 300}
    assert context.cluster.ok(other, "/confirm", body)["held"]


@when("b and c promise term 2 and the one with the greatest position opens it")
def promote_greatest(context: Context) -> None:
    """Promote a member as an owner does."""
    cluster = context.cluster
    promises = {n: cluster.ok(n, "/prepare", {"term": 2}) for n in "bc"}
    assert all(promise["granted"] for promise in promises.values())
    chosen = max(promises, key=lambda n: promises[n]["position"])
    cluster.ok(chosen, "/open", {"term": 2})
    for name in {"b", "c"} - {chosen}:
        cluster.ok(name, "/follow", {"term": 2, "address": chosen})
    cluster.trio.advance(0.3)


@then("member {name} is the primary")
def is_primary(context: Context, name: str) -> None:
    """Check the role."""
    assert context.cluster.ok(name, "/status", {})["role"] == "primary"


@when("b is promoted in term 2 with c and a as replicas")
def promote_all(context: Context) -> None:
    """Promote b and let both other members follow."""
    context.cluster.promote("b", 2, "c")
    for name in "bc":
        context.cluster.ok(name, "/fault", {"cut": []})
    # The old primary gives no promise; it receives only the request to follow.
    context.cluster.ok("a", "/follow", {"term": 2, "address": "b"})
    context.cluster.trio.advance(0.3)


@when("b is promoted in term 2 with c as replica")
def promote_two(context: Context) -> None:
    """Promote b without reaching a."""
    context.cluster.promote("b", 2, "c")
    context.cluster.trio.advance(0.3)


def claims_at(context: Context, name: str) -> list[str]:
    """Return the ids of the claims at a member."""
    body = read_body("SELECT id FROM claims")
    return [row[0] for row in context.cluster.ok(name, "/read", body)["rows"]]


@then('claim "{id}" is stored at none of {members}')
def claim_nowhere(context: Context, id: str, members: str) -> None:
    """Check that no named member has a claim."""
    context.cluster.trio.advance(0.2)
    for name in split_names(members):
        assert id not in claims_at(context, name), name


@then('claim "{id}" is stored at {members}')
def claim_at(context: Context, id: str, members: str) -> None:
    """Check that every named member has a claim exactly once."""
    context.cluster.trio.advance(0.2)
    for name in split_names(members):
        assert claims_at(context, name).count(id) == 1, name


@then("the logs of a, b and c are equal")
def logs_equal(context: Context) -> None:
    """Compare the committed entries."""
    logs = [context.cluster.ok(name, "/log", {})["committed"] for name in "abc"]
    assert logs[0] == logs[1] == logs[2] != [], logs


@then('a read at a, b and c at the position of "{id}" is refused as {code}')
def reads_refused(context: Context, id: str, code: str) -> None:
    """Read at the position of a write at every member."""
    for name in "abc":
        read_refused(context, name, id, code)


@then('a read at {name} at the position of "{id}" is refused as {code}')
def read_refused(context: Context, name: str, id: str, code: str) -> None:
    """Read at the position of a write."""
    position = context.answer_by_id[id]["position"]
    body = read_body("SELECT 1", position=position)
    status, answer = context.cluster.call(name, "/read", body)
    assert (status, answer["code"]) == (409, code), answer


@then('a read at b at the position of "{id}" succeeds after waiting {wait:d} ms')
def read_after_wait(context: Context, id: str, wait: int) -> None:
    """Read and let the member wait for the position."""
    position = context.answer_by_id[id]["position"]
    body = read_body("SELECT id FROM claims", position=position, wait_ms=wait)
    assert context.cluster.ok("b", "/read", body)["rows"] == [[id]]


@when('the write "{id}" is retried at {name} in term {term:d}')
def repeat(context: Context, id: str, name: str, term: int) -> None:
    """Retry a write."""
    context.first = context.answer_by_id[id]
    context.reply = context.cluster.call(name, "/write", write_body(id, term))


@when('the write "{id}" is retried at a in term 1 with another body')
def repeat_changed(context: Context, id: str) -> None:
    """Retry a write with another amount."""
    body = write_body(id, 1, amount=2)
    context.reply = context.cluster.call("a", "/write", body)


@then("the answer is the recorded result")
def is_recorded(context: Context) -> None:
    """Compare with the first answer."""
    status, answer = context.reply
    assert status == 200, answer
    assert answer == {**context.first, "replayed": True}, answer


@then("it is refused as {code}")
def is_refused(context: Context, code: str) -> None:
    """Check the error code of the last reply."""
    if isinstance(context.reply, list):
        context.reply = context.cluster.finish(context.reply)
    assert context.reply[1].get("code") == code, context.reply


@step("member a has promised term {term:d}")
def promised(context: Context, term: int) -> None:
    """Let a promise a term."""
    assert context.cluster.ok("a", "/prepare", {"term": term})["granted"]


@when("{call} is sent to a with term {term:d}")
def send(context: Context, call: str, term: int) -> None:
    """Send a call that carries a term."""
    record = {"workspace": "w", "request_id": "x"}
    fields = {
        "read": read_body("SELECT 1"),
        "write": write_body("x", term),
        "begin": {"workspace": "w"},
        "commit": {**record, "transaction": "t", "digest": "d"},
        "outcome": record,
        "confirm": {"position": [1, 1]},
        "open": {},
        "follow": {"address": "b"},
        "replicate": {"after": [0, 0]},
        "prepare": {},
    }[call]
    context.reply = context.cluster.call("a", f"/{call}", {**fields, "term": term})


@then("the promise is refused and the answer names term {term:d}")
def not_granted(context: Context, term: int) -> None:
    """Check a refused promise."""
    status, answer = context.reply
    assert (status, answer["granted"], answer["promised"]) == (200, False, term)


@given("statements take {service:d} ms")
def service_time(context: Context, service: int) -> None:
    """Set the service time."""
    context.cluster.ok("a", "/fault", {"service_ms": service})


@given("replicas apply entries after {lag:d} ms")
def lag(context: Context, lag: int) -> None:
    """Set the replication lag."""
    for name in "abc":
        context.cluster.ok(name, "/fault", {"replication_lag_ms": lag})


@when('the write "{id}" is sent to a in term 1 and is in service')
def send_write(context: Context, id: str) -> None:
    """Start a write and check that it runs without having been answered."""
    context.reply = context.cluster.start_call("a", "/write", write_body(id, 1))
    context.cluster.trio.advance(0.02)
    connection = context.cluster.connect("a")
    status = context.cluster.call("a", "/status", {}, connection)[1]
    assert (context.reply, status["running"]) == ([], 1), (context.reply, status)
    context.cluster.lose("a", connection)


@when("the open connections of a stop answering")
def go_silent(context: Context) -> None:
    """Suppress the answers on all open connections."""
    connection = context.cluster.connect("a")
    reply = context.cluster.call("a", "/fault", {"silent": True}, connection)
    assert reply[0] == 200, reply


@then("it is never answered")
def never_answered(context: Context) -> None:
    """Wait longer than the statement takes."""
    assert context.cluster.finish(context.reply)[0] == 0


@then('a new connection to a finds the outcome of "{id}"')
def outcome_found(context: Context, id: str) -> None:
    """Query the outcome of a request id on a new connection."""
    connection = context.cluster.connect("a")
    body = {"term": 1, "workspace": "w", "request_id": id}
    status, answer = context.cluster.call("a", "/outcome", body, connection)
    assert status == 200 and answer["found"], answer
    assert answer["results"][0]["rows"] == [[id]], answer


@then('b and c do not confirm "{id}" in term 1 or 2')
def unconfirmed(context: Context, id: str) -> None:
    """Ask both members for a confirmation in both terms."""
    position = context.answer_by_id[id]["position"]
    for name in "bc":
        body = {"term": 1, "position": position, "wait_ms": 200}
        status, answer = context.cluster.call(name, "/confirm", body)
        assert answer["code"] == "stale_term", answer
        body["term"] = 2
        assert not context.cluster.ok(name, "/confirm", body)["held"]


@when("a opens term 2, which b has promised but does not follow")
def open_again(context: Context) -> None:
    """Let a and b promise the term, and open it at a."""
    for name in "ab":
        assert context.cluster.ok(name, "/prepare", {"term": 2})["granted"]
    context.cluster.ok("a", "/open", {"term": 2})


@then('"{id}" is not confirmed by b in term 2')
def lacks_term_start(context: Context, id: str) -> None:
    """Ask for a confirmation in a term whose start b lacks."""
    body = {"term": 2, "position": context.answer_by_id[id]["position"]}
    assert not context.cluster.ok("b", "/confirm", body)["held"]


@given('a transaction at a that inserted claim "{id}"')
def transaction_insert(context: Context, id: str) -> None:
    """Begin a transaction and insert a claim."""
    run_transaction(context, {"sql": INSERT, "parameters": [id, 1]})


@given("a transaction at a that read the number of claims")
def transaction_read(context: Context) -> None:
    """Begin a transaction and read."""
    run_transaction(context, {"sql": "SELECT count(*) FROM claims"})


def run_transaction(context: Context, statement: dict[str, Any]) -> None:
    """Begin a transaction on its own connection and run a statement."""
    cluster = context.cluster
    context.connection = cluster.connect("a")
    begin = {"term": 1, "workspace": "w"}
    answer = cluster.call("a", "/begin", begin, context.connection)[1]
    context.transaction = answer["transaction"]
    body = {"transaction": context.transaction, "statement": statement}
    status, answer = cluster.call("a", "/execute", body, context.connection)
    assert status == 200 and answer["rows"], answer


@when("its connection is lost")
def lose_connection(context: Context) -> None:
    """Lose the connection of the transaction and open another one."""
    context.cluster.lose("a", context.connection)
    context.connection = context.cluster.connect("a")


@then("its commit on another connection is refused as {code}")
@then("its commit is refused as {code}")
def commit_refused(context: Context, code: str) -> None:
    """Commit on the current connection."""
    body = {
        "transaction": context.transaction,
        "term": 1,
        "workspace": "w",
        "request_id": "commit",
        "digest": "d",
    }
    reply = context.cluster.call("a", "/commit", body, context.connection)
    assert reply[1].get("code") == code, reply


@then("its next statement is refused as {code}")
def statement_refused(context: Context, code: str) -> None:
    """Run another statement of the transaction."""
    body = {"transaction": context.transaction, "statement": {"sql": "SELECT 1"}}
    reply = context.cluster.call("a", "/execute", body, context.connection)
    assert reply[1].get("code") == code, reply


@when("{count:d} reads are sent to a at once")
def send_reads(context: Context, count: int) -> None:
    """Send a read on each of several connections."""
    cluster = context.cluster
    connections = [cluster.connect("a") for _ in range(count)]
    body = read_body("SELECT 1")
    context.replies = [cluster.start_call("a", "/read", body, c) for c in connections]
    cluster.trio.advance(0.05)


@then("after each 100 ms the next 2 of them are answered")
def answered_in_order(context: Context) -> None:
    """Check which reads are answered halfway through each service time."""
    for answered in (0, 2, 4, 5):
        seen = [bool(replies) for replies in context.replies]
        assert seen == [index < answered for index in range(5)], seen
        context.cluster.trio.advance(0.1)


@when('the read "{sql}" is sent to a')
def send_read(context: Context, sql: str) -> None:
    """Run a read that accepts any role."""
    context.reply = context.cluster.call("a", "/read", read_body(sql))


@then("reading {rows:d} small rows at a takes {pages:d} pages")
def small_pages(context: Context, rows: int, pages: int) -> None:
    """Read numbers page by page."""
    count_pages(context, rows, "i", pages)


@then("reading {rows:d} rows of {size:d} KB at a takes {pages:d} pages")
def large_pages(context: Context, rows: int, size: int, pages: int) -> None:
    """Read long texts page by page."""
    count_pages(context, rows, f"hex(zeroblob({size * 500}))", pages)


def count_pages(context: Context, rows: int, column: str, pages: int) -> None:
    """Read all pages and check the number of rows and pages."""
    numbers = f"SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {rows}"
    sql = f"WITH RECURSIVE n (i) AS ({numbers}) SELECT {column} FROM n"
    seen = offset = 0
    more = True
    while more:
        body = read_body(sql, offset=offset)
        answer = context.cluster.ok("a", "/read", body)
        offset += len(answer["rows"])
        assert offset == answer["next_offset"]
        more = answer["more"]
        seen += 1
    assert (offset, seen) == (rows, pages), (offset, seen)


@then("a connection to a that has not called connect is refused as {code}")
def unconnected(context: Context, code: str) -> None:
    """Read on a connection that has not called connect."""

    async def open_connection() -> int:
        return context.cluster.open("a")

    connection = context.cluster.trio.call(open_connection)
    reply = context.cluster.call("a", "/read", read_body("SELECT 1"), connection)
    assert reply[1].get("code") == code, reply
    assert context.cluster.call("a", "/status", {}, connection)[0] == 200
    context.unconnected = connection


@then("{limit:d} connections to a can be open, and the next is refused")
def connection_limit(context: Context, limit: int) -> None:
    """Open connections up to the limit."""
    opened = [context.cluster.connect("a") for _ in range(limit - 1)]
    body = {"instance": "proxy"}
    reply = context.cluster.call("a", "/connect", body, context.unconnected)
    assert (reply[0], reply[1]["code"]) == (503, "too_many_connections"), reply
    context.cluster.lose("a", opened[0])
    assert context.cluster.call("a", "/connect", body, context.unconnected)[0] == 200
