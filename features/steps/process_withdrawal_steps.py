"""Steps for keys, databases and instances that are taken out of use."""

from behave import given, then, when
from behave.runner import Context
from bench.client.balancer_client import BalancerClient
from bench.runs.process_world import ENTRIES, ProcessWorld
from trio import sleep

SLOW_MS = 100
LEAVING = {value: {"leaving": value} for value in (False, True)}
# Requests that were sent before a withdrawal end within this time.
DRAINED_S = 1.0
OBSERVED_S = 2.0


async def executed_ids(world: ProcessWorld, database: str) -> set[str]:
    """Return the ids of the requests that the members of a database have executed."""
    logs = (await world.logs(database)).values()
    return {e["request_id"] for log in logs for e in log.executed}


@given(
    "callers with a key of their own keep two slow connections to each instance busy"
)
def busy(context: Context) -> None:
    async def claim(world: ProcessWorld, entry: str) -> None:
        caller = world.caller(entry, context.key)
        while world.is_loading:
            reply = await caller.claim("swap1", world.new_id())
            world.replies.append(reply)
            await sleep(0.01)
        await caller.connection.aclose()
        world.writers -= 1

    async def run(world: ProcessWorld) -> None:
        context.key, context.key_id = await world.issue_key("branch")
        primary = await world.fleet.primary("swap1")
        await world.fault(primary, {"service_ms": SLOW_MS})
        world.is_loading = True

    world = context.world
    world.loop.call(run, world)
    for entry in ENTRIES * 2:
        world.writers += 1
        world.loop.start(claim, world, entry)
    world.loop.call(world.acknowledged_after, 3 * len(ENTRIES))


@when("an operator withdraws the key at {entry}")
def withdraw(context: Context, entry: str) -> None:
    world, target = context.world, f"/v1/keys/{context.key_id}"
    status, body = world.loop.call(world.admin, entry, "DELETE", target)
    assert status == 200, body
    context.withdrawal = body


@then("every instance refuses the key within seconds")
def refused_everywhere(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        async def refused() -> bool:
            last = {r.entry: r for r in world.replies}
            return all(
                entry in last and last[entry].code == "unauthorized"
                for entry in ENTRIES
            )

        await world.eventually(refused, "every instance refuses the key")

    context.world.loop.call(run, context.world)
    refused = [r for r in context.world.replies if r.code == "unauthorized"]
    assert any(r.body["step"] == "owner" for r in refused), "none was queued"


@then("no member runs a request with the key from then on")
def no_more(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        await sleep(DRAINED_S)
        first, before = len(world.replies), await executed_ids(world, "swap1")
        await sleep(OBSERVED_S)
        await world.stop_load()
        later = world.replies[first:]
        assert len(later) > len(ENTRIES)
        assert {r.code for r in later} == {"unauthorized"}, later[:3]
        assert not await executed_ids(world, "swap1") - before

    context.world.loop.call(run, context.world)


@then("another key of the workspace works at every instance")
def other_key(context: Context) -> None:
    for entry in ENTRIES:
        context.world.loop.call(context.world.claim_until_served, entry, "swap1")


@when("an operator marks {database} as leaving")
def leaving(context: Context, database: str) -> None:
    world, target = context.world, f"/v1/databases/{database}/leaving"
    context.add_cleanup(world.loop.call, world.change, "PUT", target, LEAVING[False])
    world.loop.call(world.change, "PUT", target, LEAVING[True])


@then("every instance refuses claims in {database} within seconds")
def leaving_refused(context: Context, database: str) -> None:
    async def run(world: ProcessWorld) -> None:
        for entry in ENTRIES:

            async def refused(entry: str = entry) -> bool:
                return (await world.claim(entry, database)).code == "database_leaving"

            await world.eventually(refused, f"{entry} refuses {database}")

    context.world.loop.call(run, context.world)


@then("the members of {left} get no new work while {other} is served")
def no_new_work(context: Context, left: str, other: str) -> None:
    async def run(world: ProcessWorld) -> None:
        await sleep(DRAINED_S)
        before, other_before = (
            await executed_ids(world, left),
            await executed_ids(world, other),
        )
        await sleep(OBSERVED_S)
        assert await executed_ids(world, left) == before
        assert await executed_ids(world, other) > other_before
        await world.stop_load()

    context.world.loop.call(run, context.world)


@given("callers follow the platform's list of instances")
def follow_list(context: Context) -> None:
    async def call(world: ProcessWorld) -> None:
        platform = world.fleet.layout.platform_address
        client = BalancerClient(platform, world.key)
        while world.is_loading:
            caller = await client.next_caller()
            number = world.new_id()
            world.replies.append(await caller.claim("swap1", number))
            reply = await caller.read("swap2", "SELECT count(*) FROM claims")
            world.replies.append(reply)
            await sleep(0.02)
        await client.aclose()
        world.writers -= 1

    world = context.world
    world.is_loading = True
    for _ in range(12):
        world.writers += 1
        world.loop.start(call, world)
    world.loop.call(world.acknowledged_after, 50)


@given("a transaction is open at the owner of swap1")
def open_transaction(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        context.owner = await world.owner("swap1")
        other = next(entry for entry in ENTRIES if entry != context.owner)
        context.transaction_caller = world.caller(other)
        context.transaction = await context.transaction_caller.begin("swap1")

    context.world.loop.call(run, context.world)


@when("the owner of swap1 gets SIGTERM and the transaction continues")
def terminate(context: Context) -> None:
    terminate_and_continue(context, 2)


@when("the owner of swap1 gets SIGTERM and the transaction continues for {seconds:d} s")
def terminate_and_continue(context: Context, seconds: int) -> None:
    async def run(world: ProcessWorld) -> None:
        world.fleet.terminate(context.owner)
        caller, id = context.transaction_caller, context.transaction
        context.transaction_replies = []
        for number in range(2 * seconds):
            await sleep(0.5)
            reply = await caller.execute(id, f"{id}-{number}")
            context.transaction_replies.append(reply)
        context.transaction_replies.append(await caller.commit(id, world.new_id()))

    context.world.loop.call(run, context.world)


@then("the instance ends by itself with exit status 0")
def ended(context: Context) -> None:
    world = context.world
    assert world.loop.call(world.processes.wait, context.owner, 15.0)
    assert world.processes.exit_status(context.owner) == 0


@then("the transaction commits")
def commits(context: Context) -> None:
    replies = context.transaction_replies
    assert [r.status for r in replies] == [200] * len(replies), replies


@then("no request failed or was refused, and the other instances continue to serve")
def none_failed(context: Context) -> None:
    world = context.world
    world.loop.call(world.acknowledged_after, 50)
    world.loop.call(world.stop_load)
    wrong = [r for r in world.replies if r.status != 200]
    assert not wrong, (len(wrong), len(world.replies), wrong[:3])
