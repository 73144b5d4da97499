"""Steps for failures of primaries in a fleet of processes."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context
from bench.runs.lost_answers import CLAIMS, ask_and_repeat, lose_answers
from bench.runs.process_members import (
    member_status,
    wait_following,
    wait_promoted,
)
from bench.runs.process_world import ENTRIES, ProcessWorld
from trio import move_on_after, open_nursery, sleep

# Longer than the primary needs for a write, so that it executes some unconfirmed ones.
UNCONFIRMED_S = 0.5


async def partition_primary(world: ProcessWorld, database: str) -> str:
    """Partition a primary from its replicas, and a little later from the instances."""
    primary = await world.fleet.primary(database)
    cut = [m for m in world.fleet.layout.members_by_database[database] if m != primary]
    await world.fault(primary, {"cut": cut})
    await sleep(UNCONFIRMED_S)
    for entry in ENTRIES:
        cut.append((await world.status(entry))["incarnation"])
    await world.fault(primary, {"cut": cut})
    return primary


async def freeze_primary(world: ProcessWorld, database: str) -> str:
    """Freeze the primary of a database and return its name."""
    primary = await world.fleet.primary(database)
    world.freeze(primary)
    return primary


@when(
    "the primary of {database} is partitioned from its replicas, then from the"
    " instances"
)
def cut(context: Context, database: str) -> None:
    context.old_primary = context.world.loop.call(
        partition_primary, context.world, database
    )


@then("the old primary of {database} still answers as primary of its term")
def still_primary(context: Context, database: str) -> None:
    world = context.world
    old = world.loop.call(member_status, world, context.old_primary)
    new = world.loop.call(member_status, world, context.new_primary)
    assert old["role"] == new["role"] == "primary" and old["term"] < new["term"], old


@when("the old primary of {database} is reachable again and the callers stop")
def reachable_again(context: Context, database: str) -> None:
    world = context.world
    world.loop.call(world.fault, context.old_primary, {"cut": []})
    world.loop.call(wait_following, world, context.old_primary)
    world.loop.call(world.stop_load)


@then("some writes ran at the old primary of {database} only")
def unconfirmed(context: Context, database: str) -> None:
    world = context.world
    logs = world.loop.call(world.agreed_logs, database)
    by_position = {tuple(e["position"]): e for e in logs[context.new_primary].committed}
    old = [e for e in logs[context.old_primary].executed if e["kind"] == "write"]
    old_term = min(e["term"] for e in old)
    kept = sum(position[0] <= old_term for position in by_position)
    ran = sum(e["outcome"] == "ok" and e["term"] <= old_term for e in old)
    assert ran > kept, (ran, kept)


@when("the primary of {database} is frozen")
def frozen(context: Context, database: str) -> None:
    world = context.world
    context.old_primary = world.loop.call(freeze_primary, world, database)


@when("the old primary of {database} resumes and the callers stop")
def resumed(context: Context, database: str) -> None:
    world = context.world
    world.thaw(context.old_primary)
    world.loop.call(wait_following, world, context.old_primary)
    world.loop.call(world.stop_load)


@given("claims whose answers are lost because {how}")
def lost(context: Context, how: str) -> None:
    context.how = how


@when("they are retried with the same ids through another instance {moment}")
def retried(context: Context, moment: str) -> None:
    async def run(world: ProcessWorld) -> None:
        old = ""
        if moment == "during a promotion":
            old = await freeze_primary(world, "swap1")
        ids = await lose_answers(world, "entry-2", context.how)
        if moment == "after a promotion":
            old = await freeze_primary(world, "swap1")
            await wait_promoted(world, "swap1", old)
        await ask_and_repeat(world, "entry-3", ids)
        old = old or await freeze_primary(world, "swap1")
        await wait_promoted(world, "swap1", old)
        world.thaw(old)
        await wait_following(world, old)
        await ask_and_repeat(world, "entry-4", ids)

    context.world.loop.call(run, context.world)


async def read_markers(world: ProcessWorld, seconds: float, deadline_ms: int) -> None:
    """Read a unique number with each request, through all instances."""

    async def read(entry: str) -> None:
        caller = world.caller(entry)
        while True:
            marker = world.new_id().partition("-")[2]
            reply = await caller.read("swap1", f"SELECT {marker}", deadline_ms)
            world.replies.append(reply._replace(request_id=marker))

    with move_on_after(seconds):
        async with open_nursery() as nursery:
            for entry in ENTRIES * 2:
                nursery.start_soon(read, entry)


@when("callers read from swap1 while answers arrive after their deadline")
def late_answers(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        await world.fault(await world.fleet.primary("swap1"), {"service_ms": 300})
        await read_markers(world, 2.0, 200)

    context.world.loop.call(run, context.world)
    codes = Counter((reply.code, reply.ran) for reply in context.world.replies)
    assert codes["member_unreachable", "unknown"], codes


@when(
    "every connection to the primary of swap1 stops answering with answers outstanding"
)
def stop_answering(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        primary = await world.fleet.primary("swap1")
        await world.fault(primary, {"service_ms": 50})
        async with open_nursery() as nursery:
            nursery.start_soon(read_markers, world, 3.0, 1000)
            await sleep(0.5)
            await world.fault(primary, {"silent": True, "service_ms": 2})

    context.world.loop.call(run, context.world)


@then("reads and claims are served again by every instance")
def served_again(context: Context) -> None:
    for entry in ENTRIES:
        context.world.loop.call(context.world.claim_until_served, entry, "swap1")


@then("each answer contains the number that its request selected")
def own_answers(context: Context) -> None:
    read = [r for r in context.world.acknowledged() if r.request_id.isdecimal()]
    assert len(read) > CLAIMS
    wrong = [r for r in read if r.body["results"][0]["rows"] != [[int(r.request_id)]]]
    assert not wrong, (len(wrong), wrong[:2])


@then("no read refused as not run was run by any member of {database}")
def reads_not_run(context: Context, database: str) -> None:
    world = context.world
    logs = world.loop.call(world.logs, database).values()
    ran = {s["sql"] for log in logs for e in log.executed for s in e["statements"]}
    refused = [r for r in world.replies if r.ran == "not_run" and r.request_id]
    wrong = [r for r in refused if f"SELECT {r.request_id}" in ran]
    assert not wrong, (len(wrong), wrong[:2])
