"""Steps for the transfer of the configuration to the instances."""

import json
from base64 import b64encode
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context
from features.wire.platform_world import FAILURE_DOMAINS, KEY, PlatformWorld
from trio import current_time, sleep

KILOBYTE = 1000
# The instances know each other, and have agreed on who reads the store.
SETTLED_S = 4.0
POLL_S = 0.05
# Headers and confirmations beside the configuration.
OVERHEAD = 1.15
DOMAINS_BY_NUMBER = {"one": FAILURE_DOMAINS[:1], "two": FAILURE_DOMAINS[:2]}


@given(
    "{count:d} instances in {domains} failure domain, with links of {rates} kB/s to "
    "the store"
)
@given(
    "{count:d} instances in {domains} failure domains, with links of {rates} kB/s to "
    "the store"
)
def instances(context: Context, count: int, domains: str, rates: str) -> None:
    """Start instances behind links of these rates; a single rate holds for all."""
    rate_of = [KILOBYTE * float(rate) for rate in rates.split(",")]
    context.platform = PlatformWorld(
        instances=count,
        failure_domains=DOMAINS_BY_NUMBER[domains],
        link_bytes_per_s=tuple(rate_of * count)[:count],
    )
    context.add_cleanup(context.platform.close)
    context.platform.start()
    context.platform.call(sleep, SETTLED_S)
    context.callers = [context.platform.open(instance=i) for i in range(count)]


def _sent_bytes(context: Context) -> list[int]:
    return [link.forwarded_bytes for link in context.platform.links]


def _add_routes(context: Context, count: int) -> None:
    routes = context.platform.configuration["Routes"]
    added = [
        {**routes[0], "Name": f"r-{number}", "Host": f"added-{number}-db"}
        for number in range(count)
    ]
    routes += added
    context.new_database = added[-1]["Host"]
    context.sent_before = _sent_bytes(context)
    context.platform.publish()


def _withdraw_key(context: Context) -> None:
    context.platform.configuration["Tenants"][0]["ApiKeys"] = []
    context.platform.publish()


@when("the configuration grows by {count:d} routes")
def grows(context: Context, count: int) -> None:
    """Add routes in one version."""
    _add_routes(context, count)


@when(
    "instance {number:d} is killed, the configuration grows by {count:d} routes and "
    "it starts again"
)
def grows_while_down(context: Context, number: int, count: int) -> None:
    """Restart an instance with a large configuration in the store."""
    context.platform.kill(number - 1)
    _add_routes(context, count)
    context.platform.restart(number - 1)


@when("the store refuses instance {number:d}")
def refused(context: Context, number: int) -> None:
    """Close the instance's connections to the store, also new ones."""

    async def refuse() -> None:
        context.platform.links[number - 1].refuse()

    context.platform.call(refuse)


@when("the store refuses instance {number:d} and a key is withdrawn")
def refused_and_withdrawn(context: Context, number: int) -> None:
    """Withdraw a key that the instance can't read of in the store."""
    refused(context, number)
    _withdraw_key(context)


@when("instances {numbers} are killed and a key is withdrawn")
def killed(context: Context, numbers: str) -> None:
    """Kill instances just before a change."""
    for number in numbers.split(","):
        context.platform.kill(int(number) - 1)
    _withdraw_key(context)


def _wait_until(context: Context, holds: Callable[[], bool], seconds: float) -> None:
    start = context.platform.call(_now)
    while not holds():
        elapsed_s = context.platform.call(_now) - start
        assert elapsed_s < seconds, f"not after {elapsed_s:.1f} s"
        context.platform.call(sleep, POLL_S)


async def _now() -> float:
    return current_time()


def _is_served(context: Context, instance: int) -> bool:
    try:
        caller = context.platform.open(context.new_database, KEY, instance)
    except OSError:
        return False
    return caller.opened.startswith("READY")


@then("a new route is served by instance {number:d} within {seconds:d} s")
def served(context: Context, number: int, seconds: int) -> None:
    """Open sessions until one is accepted."""
    _wait_until(context, lambda: _is_served(context, number - 1), seconds)


@then("a new route is served by all instances within {seconds:d} s")
def served_by_all(context: Context, seconds: int) -> None:
    """Open sessions at all instances."""
    for instance in range(len(context.callers)):
        _wait_until(context, lambda i=instance: _is_served(context, i), seconds)


@then("instance {number:d} refuses the key within {seconds:d} s")
def refuses(context: Context, number: int, seconds: int) -> None:
    """Send statements in a session that was opened before the change."""
    caller = context.callers[number - 1]

    def is_refused() -> bool:
        answer = context.platform.query(caller, "READ 1")
        return any(line.startswith("ERR NOAUTH") for line in answer)

    _wait_until(context, is_refused, seconds)


@then("the store has sent it at most {times:d} times the configuration")
def sent_to_one(context: Context, times: int) -> None:
    """Compare the bytes on the link of the last instance."""
    _check_sent(context, _sent_since(context)[-1:], times)


@then("the store has sent them at most {times:d} times the configuration")
def sent_to_all(context: Context, times: int) -> None:
    """Compare the bytes on the links of all instances together."""
    _check_sent(context, _sent_since(context), times)


def _sent_since(context: Context) -> list[int]:
    # A transfer that nobody waits for any more may still be in progress.
    context.platform.call(sleep, 2.0)
    before = context.sent_before
    return [now - then for now, then in zip(_sent_bytes(context), before, strict=True)]


def _check_sent(context: Context, sent: list[int], times: int) -> None:
    document = json.dumps(context.platform.configuration).encode()
    limit = OVERHEAD * times * len(b64encode(document))
    assert sum(sent) <= limit, (sent, limit)
