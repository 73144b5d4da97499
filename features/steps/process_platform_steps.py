"""Steps for outages of the platform and for concurrent changes of operators."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from bench.client.json_call import call_once
from bench.runs.preset_race import (
    define_rush,
    race,
    wait_same,
    watch_configuration,
)
from bench.runs.process_world import ENTRIES, ProcessWorld
from trio import sleep

RACES = 5
# Longer than the interval at which an instance polls the platform.
OBSERVED_S = 2.0


@given("the platform is down")
def platform_down(context: Context) -> None:
    world = context.world
    world.loop.call(world.fleet.set_platform_fault, {"mode": "down"})


@given("the configurations of all instances are watched")
def watched(context: Context) -> None:
    world = context.world
    context.watched = []
    world.loop.call(define_rush, world)
    for entry in ENTRIES:
        world.writers += 1
        world.loop.start(watch_configuration, world, entry, context.watched)


@given("the platform loses the answers to its writes")
def loses_answers(context: Context) -> None:
    world = context.world
    world.loop.call(world.fleet.set_platform_fault, {"mode": "lose_answers"})


@when("the platform is up again")
def platform_up(context: Context) -> None:
    world = context.world
    world.loop.call(world.fleet.set_platform_fault, {"mode": "up"})


@then("the platform's row of {database} names the new primary within seconds")
def row_names(context: Context, database: str) -> None:
    async def run(world: ProcessWorld) -> None:
        layout = world.fleet.layout
        address = layout.members_by_database[database][context.new_primary]
        key = f"database/{database}"

        async def named() -> bool:
            _, body = await call_once(
                layout.platform_address, "POST", "/table/read", {"keys": [key]}
            )
            return bool(body["rows"][key]["value"]["primary"] == address)

        await world.eventually(named, "the row names the new primary")

    context.world.loop.call(run, context.world)


@then("the answer reports in force only if every instance has confirmed the withdrawal")
def all_confirmed(context: Context) -> None:
    body = context.withdrawal
    is_complete = len(body["confirmed_by"]) == len(ENTRIES)
    assert not body["stored"]
    assert (body["state"] == "in_force") == is_complete, body


@then("every instance shows the withdrawal as stored within seconds")
def stored(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        for entry in ENTRIES:

            async def shown(entry: str = entry) -> bool:
                _, body = await world.admin(entry, "GET", "/v1/configuration")
                return bool(body["key_by_id"][context.key_id]["withdrawn"])

            await world.eventually(shown, f"{entry} shows the withdrawal")

    context.world.loop.call(run, context.world)


def check_answers(answers: list[Any], stored: dict[str, Any]) -> None:
    """Check that the answers to concurrent changes agree with the stored preset."""
    (before, preset, *_), _ = answers
    made = [a for a in answers if a[3] == 200]
    refused = [a for a in answers if a[4].get("ran") == "not_run"]
    unknown = [a for a in answers if a not in made and a not in refused]
    assert len(made) <= 1, answers
    assert stored["version"] in (before, before + 1), (stored["version"], answers)
    if made:
        assert stored["preset"] == made[0][2], (stored["preset"], answers)
    elif not unknown:
        assert stored["preset"] == preset, (stored["preset"], answers)
    for answer in refused:
        if answer[3] == 409:
            assert "yours" in answer[4] and "current" in answer[4], answer


@when(
    "an operator selects peak at entry-1 and rush at entry-2 before the platform is up"
)
def select_two(context: Context) -> None:
    context.races = [context.world.loop.call(race, context.world, 7.0)]


@when("operators select peak at entry-1 and rush at entry-2 five times at once")
def select_race(context: Context) -> None:
    async def run(world: ProcessWorld) -> list[Any]:
        races = []
        for number in range(RACES):
            await wait_same(world)
            if number % 2:
                await world.fleet.set_platform_fault({"mode": "lose_answers"})
            races.append(await race(world, 0.3))
            check_answers(races[-1], await wait_same(world))
        return races

    context.races = context.world.loop.call(run, context.world)


@then("the same preset is selected everywhere and agrees with the operators' answers")
def one_preset(context: Context) -> None:
    world = context.world
    check_answers(context.races[-1], world.loop.call(wait_same, world))


@then("no instance returned to an older configuration")
def never_back(context: Context) -> None:
    context.world.loop.call(sleep, OBSERVED_S)
    context.world.loop.call(context.world.stop_load)
    preset_by_version: dict[int, str] = {}
    version_by_incarnation: dict[str, int] = {}
    for incarnation, version, preset in context.watched:
        assert preset_by_version.setdefault(version, preset) == preset, version
        last = version_by_incarnation.get(incarnation, 0)
        assert version >= last, (incarnation, last, version)
        version_by_incarnation[incarnation] = version
    assert len(version_by_incarnation) == len(ENTRIES)


@given("callers claim packets in swap1 through the instances that are ready")
def ready_only(context: Context) -> None:
    async def call(world: ProcessWorld, entry: str) -> None:
        address = world.fleet.layout.instance_by_name[entry].caller
        caller = world.caller(entry)
        while world.is_loading:
            if (await call_once(address, "GET", "/readyz"))[0] != 200:
                break
            world.replies.append(await caller.claim("swap1", world.new_id()))
            await sleep(0.02)
        await caller.connection.aclose()
        world.writers -= 1

    world = context.world
    world.is_loading = True
    for entry in ENTRIES * 3:
        world.writers += 1
        world.loop.start(call, world, entry)
    world.loop.call(world.acknowledged_after, 50)


@when("the owner of swap1 gets SIGTERM")
def terminate(context: Context) -> None:
    async def run(world: ProcessWorld) -> None:
        context.owner = await world.owner("swap1")
        world.fleet.terminate(context.owner)

    context.world.loop.call(run, context.world)
