"""Steps for sessions during evacuations and with allowed regions."""

from behave import given, then, when
from behave.runner import Context
from features.support.log_lines import collect_log_lines
from features.wire.platform_world import PlatformWorld
from trio import sleep

LIMIT_S = 0.6
DOMAINS = ("z1", "z2", "z3")
ATTEMPTS = 100
# An instance has read the configuration within this time.
START_S = 2.0


@given("an instance whose members m0, m1 and m2 are in z1, z2 and z3")
def instance_with_domains(context: Context) -> None:
    """Start an instance that follows evacuations."""
    context.platform = PlatformWorld(evacuation_s=LIMIT_S)
    domains = {f"m{n}": domain for n, domain in enumerate(DOMAINS)}
    context.platform.group.domain_by_member = domains
    context.platform.start()
    context.add_cleanup(context.platform.close)


@given("a transaction that has written at the primary m0")
def transaction_at_primary(context: Context) -> None:
    """Leave a transaction open."""
    context.caller = context.platform.open()
    for text in ("BEGIN", "WRITE kept no"):
        answer = context.platform.query(context.caller, text)
        assert answer[-2].startswith("DONE"), answer


@when("z2 and z1 are evacuated and the limit has passed")
def are_evacuated(context: Context) -> None:
    """Evacuate the primary's failure domain last, as its switchover begins then."""
    context.platform.evacuate("z2")
    is_evacuated(context, "z1")


@then("a write runs at m2 after {count:d} promotion")
def write_runs_after(context: Context, count: int) -> None:
    """Compare the member and the number of promotions."""
    assert _write(context) == "m2"
    assert len(context.platform.store.tokens) == count, context.platform.store.tokens


@given("a read transaction whose first read ran at a replica")
def read_transaction(context: Context) -> None:
    """Leave a read transaction open."""
    context.caller = context.platform.open("bounded-db")
    for text in ("BEGIN READ", "READ first"):
        answer = context.platform.query(context.caller, text)
        assert answer[-2].startswith("DONE"), answer
    context.member = context.platform.group.runs[-1].member
    assert context.member != context.platform.group.primary


@when("the failure domain of that replica is evacuated and the limit has passed")
def replica_evacuated(context: Context) -> None:
    """Evacuate where the transaction is open."""
    domains = context.platform.group.domain_by_member
    is_evacuated(context, domains[context.member])


@then('the next read is refused as "{code}" and runs nowhere')
def next_read_refused(context: Context, code: str) -> None:
    """Continue the open transaction."""
    answer = context.platform.query(context.caller, "READ second")
    assert answer[0].startswith(f"ERR {code} "), answer
    assert not any(run.text == "READ second" for run in context.platform.group.runs)


@when('"{domain}" is evacuated and the limit has passed')
@when("{domain:w} is evacuated and the limit has passed")
def is_evacuated(context: Context, domain: str) -> None:
    """Evacuate a failure domain."""
    context.platform.evacuate(domain)
    context.platform.call(sleep, LIMIT_S)


@given("the store ends a page after the configuration")
def small_pages(context: Context) -> None:
    """Let the first row fill a page."""
    context.platform.store.page_bytes = 1


@when("{domain:w} is evacuated and the instance starts again")
def evacuated_and_restarted(context: Context, domain: str) -> None:
    """Restart the instance, which reads the store before it serves."""
    with collect_log_lines() as context.log_lines:
        context.platform.evacuate(domain)
        context.platform.kill(0)
        context.log_lines.clear()
        context.platform.restart(0)
        context.platform.call(sleep, START_S)


@then("it has read that {domain:w} is evacuated")
def has_read(context: Context, domain: str) -> None:
    """Look for the line of the evacuation."""
    line = f"evacuation: begun failure_domain={domain}"
    assert any(line in found for found in context.log_lines), context.log_lines


@when("the store is copied, z1 is evacuated and the copy is restored")
def restored_to_before(context: Context) -> None:
    """Restore the store to a moment before the evacuation."""
    context.platform.store.copy()
    is_evacuated(context, "z1")
    context.platform.store.restore()
    context.platform.publish()


@when('the routes allow the region "{region}"')
def routes_allow(context: Context, region: str) -> None:
    """Publish a configuration in which all routes are restricted."""
    for route in context.platform.configuration["Routes"]:
        route["AllowedRegions"] = [region]
    context.platform.publish()
    context.platform.call(sleep, 0.2)


@then('the transaction is refused as "{code}" and nothing of it is kept')
def transaction_refused(context: Context, code: str) -> None:
    """Commit the open transaction."""
    answer = context.platform.query(context.caller, "COMMIT")
    assert answer[0].startswith(f"ERR {code} "), answer
    assert "kept" not in context.platform.group.item_by_name
    assert not any(run.text == "COMMIT" for run in context.platform.group.runs)


@then("a write runs at another member than m0")
def write_runs_elsewhere(context: Context) -> None:
    """Write until it succeeds; m0 must not run anything."""
    context.platform.group.runs.clear()
    _write(context)
    assert {run.member for run in context.platform.group.runs} <= {"m1", "m2"}


@then("a write runs at m0")
def write_runs_at_primary(context: Context) -> None:
    """Write at the first primary."""
    assert _write(context) == "m0"


def _write(context: Context) -> str:
    answer: list[str] = []
    for _ in range(ATTEMPTS):
        caller = context.platform.open()
        answer = context.platform.query(caller, "WRITE item data")
        if answer[0].startswith("DONE"):
            return context.platform.group.runs[-1].member
        context.platform.call(sleep, 0.05)
    raise AssertionError(answer)


@then("a write is refused at once while z1, z2 and z3 are evacuated")
def refused_while_all_evacuated(context: Context) -> None:
    """Evacuate all members; the refusal must not depend on a wait."""
    for domain in DOMAINS:
        is_evacuated(context, domain)
    refused_with(context, "evacuated")


@then('a write is refused at once with "{reason}"')
def refused_with(context: Context, reason: str) -> None:
    """Compare the refusal of the router, which tells when to retry."""
    runs = len(context.platform.group.runs)
    answer = context.platform.query(context.platform.open(), "WRITE item data")
    assert answer[0].startswith("ERR BUSY ") and reason in answer[0], answer
    assert "retry-after-ms=" in answer[0], answer
    assert len(context.platform.group.runs) == runs


@then("a write runs again after the evacuations were taken back")
def runs_again(context: Context) -> None:
    """Take all evacuations back."""
    for domain in DOMAINS:
        context.platform.take_evacuation_back(domain)
    _write(context)


@then("5 bounded reads run at another member than m0")
def reads_run_elsewhere(context: Context) -> None:
    """Read where the closest replica is evacuated."""
    assert "m0" not in _members_that_read(context, 5)


@then("{count:d} bounded reads run at m2")
def reads_run_at(context: Context, count: int) -> None:
    """Read where only m2 is allowed."""
    assert _members_that_read(context, count) == ["m2"] * count


def _members_that_read(context: Context, count: int) -> list[str]:
    """Read on a route that any member may serve."""
    context.platform.group.runs.clear()
    for _ in range(count):
        answer = context.platform.query(context.platform.open("bounded-db"), "READ x")
        assert answer[-2].startswith("DONE"), answer
    return [run.member for run in context.platform.group.runs]
