"""Steps for entry instances that crash, freeze and join."""

from behave import given, then, when
from behave.runner import Context
from bench.check.rate_windows import largest_excess
from bench.client.proxy_caller import ProxyCaller
from bench.load.flood import CALLERS_PER_INSTANCE, flood
from bench.runs.process_world import ENTRIES, PATIENCE_S, ProcessWorld
from trio import open_nursery, sleep

FLOOD_S = 18.0
FLOOD_FACTOR = 8
WAITING = 5


async def interleave(world: ProcessWorld, entries: tuple[str, str]) -> dict[str, str]:
    """Begin A and B, run two statements of each in turn; return the transaction ids."""
    callers = [world.caller(entry) for entry in entries]
    ids = [await caller.begin("swap1") for caller in callers]
    for number in (1, 2):
        for caller, id, name in zip(callers, ids, "AB", strict=True):
            reply = await caller.execute(id, f"{id}-{name}{number}")
            assert reply.status == 200, reply
    return dict(zip("AB", ids, strict=True))


async def entries_with(world: ProcessWorld, transaction: str) -> list[list[str]]:
    """Return the rows of each log entry that contains a row of a transaction."""
    logs = await world.agreed_logs("swap1")
    entries = next(iter(logs.values())).committed
    rows = [[p for s in e["statements"] for p in s["parameters"]] for e in entries]
    return [r for r in rows if any(str(p).startswith(transaction) for p in r)]


@given("transactions A through entry-1 and B through entry-2, interleaved in swap1")
def two_transactions(context: Context) -> None:
    world = context.world
    context.ids = world.loop.call(interleave, world, ENTRIES[:2])


@when("A commits, and the owner of swap1 is killed while B is open")
def kill_owner(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        id = context.ids["A"]
        reply = await world.caller("entry-1").commit(id, world.new_id())
        assert reply.status == 200, reply
        context.killed = await world.owner("swap1")
        world.fleet.kill(context.killed)

    context.world.loop.call(run, context.world)


@then("a statement or commit of B through another instance is refused")
def refused(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        other = next(name for name in ENTRIES if name != context.killed)
        caller, id = world.caller(other), context.ids["B"]
        for reply in (
            await caller.execute(id, f"{id}-B3"),
            await caller.commit(id, world.new_id()),
        ):
            assert reply.status != 200 and reply.code, reply
        await world.claim_until_served(other, "swap1")

    context.world.loop.call(run, context.world)


@then("the log of swap1 contains exactly the statements of A, in one entry")
def only_a(context: Context) -> None:
    world, ids = context.world, context.ids
    a, b = ids["A"], ids["B"]
    assert world.loop.call(entries_with, world, a) == [[f"{a}-A1", f"{a}-A2"]]
    assert world.loop.call(entries_with, world, b) == []


@given("transactions A and B through two instances other than the owner of swap1")
def two_others(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        owner = await world.owner("swap1")
        first, second, _ = context.others = [e for e in ENTRIES if e != owner]
        context.ids = await interleave(world, (first, second))

    context.world.loop.call(run, context.world)


@when("the instance that forwards A is killed and A continues through another one")
def kill_forwarder(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        forwarder, second, third = context.others
        world.fleet.kill(forwarder)
        for name, entry in (("A", third), ("B", second)):
            caller, id = world.caller(entry), context.ids[name]
            reply = await caller.execute(id, f"{id}-{name}3")
            assert reply.status == 200, reply
            reply = await caller.commit(id, world.new_id())
            assert reply.status == 200, reply

    context.world.loop.call(run, context.world)


@then("the log of swap1 contains the statements of A and of B in one entry each")
def both(context: Context) -> None:
    world = context.world
    for name, id in context.ids.items():
        rows = [f"{id}-{name}{number}" for number in (1, 2, 3)]
        assert world.loop.call(entries_with, world, id) == [rows], name


@when(
    "{entry} is frozen for {seconds:g} s while a key is withdrawn and requests wait"
    " in it"
)
def frozen_instance(context: Context, entry: str, seconds: float) -> None:
    async def run(world: ProcessWorld) -> None:
        key, key_id = await world.issue_key("branch")
        context.withdrawn, context.waited = [], []

        async def wait(caller: ProxyCaller, replies: list) -> None:
            replies.append(await caller.claim("swap1", world.new_id(), 20_000))
            await caller.connection.aclose()

        assert (await world.caller(entry, key).claim("swap1", world.new_id())).ran == ""
        world.freeze(entry)
        async with open_nursery() as nursery:
            for _ in range(WAITING):
                caller = world.caller(entry, key)
                nursery.start_soon(wait, caller, context.withdrawn)
                nursery.start_soon(wait, world.caller(entry), context.waited)
            status, body = await world.admin(
                "entry-1", "DELETE", f"/v1/keys/{key_id}", timeout=20
            )
            assert (status, body["state"]) == (200, "in_force"), body
            await sleep(seconds)
            world.thaw(entry)
        world.replies.extend(context.waited)

    context.world.loop.call(run, context.world)


@then("no request with the withdrawn key was served or is in any log")
def withdrawn(context: Context) -> None:
    world, replies = context.world, context.withdrawn
    assert len(replies) == WAITING
    assert not [r for r in replies if r.status == 200], replies
    for log in world.loop.call(world.logs, "swap1").values():
        ran = set(log.rows("committed")) | set(log.rows("executed"))
        assert not ran & {r.request_id for r in replies}, replies


@then("each claim that waited was served once, or refused and not run")
def served_once(context: Context) -> None:
    world = context.world
    logs = world.loop.call(world.agreed_logs, "swap1")
    held = next(iter(logs.values())).committed_ids()
    for reply in context.waited:
        served = reply.status == 200
        assert served or reply.ran == "not_run", reply
        assert held.count(reply.request_id) == served, reply


@then("{entry} serves again")
def serves_again(context: Context, entry: str) -> None:
    context.world.loop.call(context.world.rejoined, entry)


@given("a workspace with a rate of {rate:d} a second and a burst of {burst:d}")
def limited(context: Context, rate: int, burst: int) -> None:
    world = context.world
    context.rate, context.burst = rate, burst
    context.key, _ = world.loop.call(world.workspace, "limited", rate, burst)


@when(
    "it sends eight times its rate while one instance freezes, one crashes and one"
    " joins"
)
def flooded(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        entries = (*ENTRIES, "entry-5") * CALLERS_PER_INSTANCE
        callers = [world.caller(entry, context.key) for entry in entries]
        rate = FLOOD_FACTOR * context.rate
        # The first request at an instance creates its bucket, which then fills up.
        for entry in ENTRIES:
            reply = await world.caller(entry, context.key).read("swap2", "SELECT 1")
            assert reply.status == 200, reply
        await sleep(2 * context.burst / context.rate)
        async with open_nursery() as nursery:
            nursery.start_soon(flood, callers, rate, FLOOD_S, world.replies)
            await sleep(2)
            world.freeze("entry-2")
            await sleep(1)
            world.fleet.kill("entry-3")
            await sleep(2)
            world.fleet.start_instance("entry-5")
            await sleep(3)
            world.thaw("entry-2")

    context.world.loop.call(run, context.world)


@then("no time window contains more admissions than the burst and the rate allow")
def within_rate(context: Context) -> None:
    served = context.world.acknowledged()
    times = [(reply.sent_at, reply.answered_at) for reply in served]
    excess = largest_excess(times, context.rate, context.burst)
    assert excess <= 0, (excess, len(times))


@then("the workspace was served all the time")
def served(context: Context) -> None:
    times = sorted(reply.answered_at for reply in context.world.acknowledged())
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert max(gaps) < PATIENCE_S and len(times) > FLOOD_S * context.rate / 4, (
        len(times),
        max(gaps),
    )
