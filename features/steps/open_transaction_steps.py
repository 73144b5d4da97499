"""Steps for open transactions during changes of the configuration."""

from collections.abc import Callable
from functools import partial
from time import monotonic

from behave import given, then, when
from behave.runner import Context
from features.wire.configuration_edits import (
    CHANGES,
    pass_key,
    remove_key,
    remove_route,
    set_public,
    wait_long,
)
from features.wire.platform_world import KEY, MAX_CONNECTIONS
from trio import sleep

OTHER_KEY, UNKNOWN_KEY = "key-of-w2", "key-of-nobody"
TIMEOUT_S = 20.0


def publish(context: Context, change: Callable[[dict, str], None]) -> None:
    """Publish a changed configuration and wait until the caller's instance uses it.

    Each version brings a route of its own, by which its use shows.
    """
    platform = context.platform
    change(platform.configuration, context.database)
    database = f"since-{platform.configuration['Version'] + 1}"
    routes = platform.configuration["Routes"]
    platform.configuration["Routes"] = [
        *routes,
        {**routes[0], "Name": database, "Host": database, "Public": True},
    ]
    platform.publish()
    deadline = monotonic() + TIMEOUT_S
    instance = getattr(context, "caller_instance", 0)
    while not platform.open(database, KEY, instance).opened.startswith("READY"):
        assert monotonic() < deadline, "the change is not in force"
        platform.call(sleep, 0.02)


@given('a caller of "{database}" has written in a transaction')
def written(context: Context, database: str) -> None:
    """Leave the transaction open."""
    context.database = database
    context.caller = context.platform.open(database)
    begin_and_write(context)


def begin_and_write(context: Context) -> None:
    """Begin a transaction and run its first write."""
    for text in ("BEGIN", "WRITE kept 1"):
        answer = context.platform.query(context.caller, text)
        assert answer[0].startswith("DONE"), answer


@given("a caller without a key has written in a transaction on a public route")
def written_without_key(context: Context) -> None:
    """Make a route public and leave a transaction open."""
    context.database = "primary-db"
    publish(context, partial(set_public, public=True))
    context.caller = context.platform.open(context.database, UNKNOWN_KEY)
    begin_and_write(context)


@given("a version with a limit of {seconds:g} s for idle transactions is in force")
@when("a version with a limit of {seconds:g} s for idle transactions is in force")
def idle_limit(context: Context, seconds: float) -> None:
    """Publish another limit."""
    context.database = "primary-db"

    def change(configuration: dict, database: str) -> None:
        configuration["Limits"] = {"TxIdleMs": 1000 * seconds}

    publish(context, change)


@given("a caller has begun a transaction whose first statement waits for a connection")
def first_statement_waits(context: Context) -> None:
    """Use every connection of the primary by other transactions, then send a write."""
    platform = context.platform
    context.database = "bounded-db"
    publish(context, wait_long)
    context.holders = []
    for _ in range(MAX_CONNECTIONS + 1):
        caller = platform.open(context.database)
        for text in ("BEGIN", "WRITE held 1"):
            answer = platform.query(caller, text)
        if not answer[0].startswith("DONE"):
            break
        context.holders.append(caller)
    assert "every connection to the member is in use" in answer[0], answer
    context.caller = platform.open(context.database)
    assert platform.query(context.caller, "BEGIN")[0].startswith("DONE")
    platform.call(context.caller.send_raw, b"QUERY waits WRITE kept 1\r\n")


@when("a connection is free")
def connection_free(context: Context) -> None:
    """End one of the other transactions."""
    assert "waits" not in [run.id for run in context.platform.group.runs]
    answer = context.platform.query(context.holders[0], "ROLLBACK")
    assert answer[0].startswith("DONE"), answer


@when("its route is no longer public")
def not_public(context: Context) -> None:
    """One version changes the route."""
    publish(context, partial(set_public, public=False))


@when("its key is withdrawn and its route becomes public")
def withdrawn_and_public(context: Context) -> None:
    """One version changes both."""

    def change(configuration: dict, database: str) -> None:
        remove_key(configuration, database)
        set_public(configuration, database, public=True)

    publish(context, change)


@when("its transaction is idle for {seconds:g} s")
def is_idle(context: Context, seconds: float) -> None:
    """Send nothing."""
    context.platform.call(sleep, seconds)


@when("its key passes to another workspace")
def key_passes(context: Context) -> None:
    """One version takes the key from its workspace and gives it to another one."""
    publish(context, pass_key)


@when("its key and its route are removed")
def key_and_route_removed(context: Context) -> None:
    """One version removes both."""

    def change(configuration: dict, database: str) -> None:
        remove_key(configuration, database)
        remove_route(configuration, database)

    publish(context, change)


@when("{change} is in force")
def change_in_force(context: Context, change: str) -> None:
    """Publish a change by its name."""
    publish(context, CHANGES[change])


@when('it sends "{text}" after the change')
def sends_after(context: Context, text: str) -> None:
    """Send a statement of the open transaction."""
    context.answer = context.platform.query(context.caller, text)


@then("the statement is refused with {code} and has not run")
def refused_not_run(context: Context, code: str) -> None:
    """No member has run the statement, and the refusal says so."""
    assert context.answer[0].startswith(f"ERR {code}"), context.answer
    ran = [run.id for run in context.platform.group.runs]
    assert context.caller.last_id not in ran, ran


@then("the write of its transaction is not kept")
def not_kept(context: Context) -> None:
    """A caller with another key doesn't see it."""
    caller = context.platform.open("session-db", OTHER_KEY)
    answer = context.platform.query(caller, "READ kept")
    assert answer[0] == "ROW none", answer


@then("its next transaction runs for the new workspace")
def next_transaction_runs(context: Context) -> None:
    """The members have a connection for the new workspace that ran its statements."""
    platform = context.platform
    caller = platform.open("primary-db", KEY)
    for text in ("BEGIN", "WRITE later 1", "COMMIT"):
        answer = platform.query(caller, text)
        assert answer[0].startswith("DONE"), answer
    assert platform.group.runs[-1].workspace == "w2", platform.group.runs[-1]


@then("the log line of the statement names the newest version")
def names_newest(context: Context) -> None:
    """Compare the version in the line of the last statement."""
    lines = [line for line in context.lines if f"id={context.caller.last_id}" in line]
    version = context.platform.configuration["Version"]
    assert len(lines) == 1 and f" version={version} " in lines[0], lines


@then("its transaction is kept")
def kept(context: Context) -> None:
    """Its last statement is answered with success, and its first write is there."""
    assert context.answer[0].startswith("DONE"), context.answer
    assert context.platform.group.item_by_name["kept"] == "1"


@then("the session is ready for its next transaction")
def ready(context: Context) -> None:
    """The answer ends outside of a transaction, and BEGIN is accepted."""
    assert context.answer[-1].startswith("READY I"), context.answer
    answer = context.platform.query(context.caller, "BEGIN")
    assert answer[0].startswith("DONE"), answer


@then("its next transaction is refused with {code}")
def next_refused(context: Context, code: str) -> None:
    """The change applies to the next transaction."""
    answer = context.platform.query(context.caller, "BEGIN")
    assert answer[0].startswith(f"ERR {code}"), answer


@then("the member has rolled the transaction back")
def rolled_back(context: Context) -> None:
    """No member has a transaction open."""
    members = context.platform.member_by_id.values()
    assert sum(member.open_transactions for member in members) == 0


@then("the statement that waited has run")
def waited(context: Context) -> None:
    """It was sent before the change."""
    answer = context.platform.call(context.caller.read_answer)
    assert answer[0].startswith("DONE"), answer
    assert context.platform.group.runs[-1].id == "waits", context.platform.group.runs
