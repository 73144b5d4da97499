"""Steps for open transactions during changes of the configuration."""

from collections.abc import Callable
from time import monotonic

from behave import given, then, when
from behave.runner import Context
from trio import sleep

KEY, OTHER_KEY = "key-of-w1", "key-of-w2"
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


def pass_key(configuration: dict, database: str) -> None:
    """Give the key of the first workspace, and its rate, to the second one."""
    first, second = configuration["Tenants"]
    second["RatePerS"] = second["Burst"] = first["RatePerS"]
    first["ApiKeys"] = []
    second["ApiKeys"] = [*second["ApiKeys"], KEY]


def remove_key(configuration: dict, database: str) -> None:
    """Withdraw the only key of the first workspace."""
    configuration["Tenants"][0]["ApiKeys"] = []


def remove_route(configuration: dict, database: str) -> None:
    """Remove the route of the caller's database."""
    configuration["Routes"] = [
        route for route in configuration["Routes"] if route["Host"] != database
    ]


def remove_group(configuration: dict, database: str) -> None:
    """Remove the route, and the group from every other route and from the list."""
    remove_route(configuration, database)
    move_route(configuration, database)


def move_route(configuration: dict, database: str) -> None:
    """Let the routes lead to a group that has no members."""
    configuration["Services"] = [{**configuration["Services"][0], "Name": "other"}]
    configuration["Routes"] = [
        {**route, "Service": "other"} for route in configuration["Routes"]
    ]


def lower_rate(configuration: dict, database: str) -> None:
    """Lower the rate of the first workspace to one operation a second."""
    configuration["Tenants"][0].update(RatePerS=1, Burst=1)


def lower_connections(configuration: dict, database: str) -> None:
    """Lower the limit of the members' connections."""
    configuration["Services"][0]["MaxConns"] = 2


def add_key(configuration: dict, database: str) -> None:
    """Give the first workspace another key beside its own."""
    configuration["Tenants"][0]["ApiKeys"] = ["key-new", KEY]


CHANGES = {
    "the removal of its route": remove_route,
    "the removal of its route and its group": remove_group,
    "another member group of its route": move_route,
    "a lower rate of its workspace": lower_rate,
    "a lower limit of its members' connections": lower_connections,
    "a second key of its workspace": add_key,
    "a version without a change for it": lambda configuration, database: None,
}


@given('a caller of "{database}" has written in a transaction')
def written(context: Context, database: str) -> None:
    """Leave the transaction open."""
    context.database = database
    context.caller = context.platform.open(database)
    for text in ("BEGIN", "WRITE kept 1"):
        answer = context.platform.query(context.caller, text)
        assert answer[0].startswith("DONE"), answer


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
