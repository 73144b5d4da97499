"""Operators that select presets while the platform may be down."""

from typing import Any

from trio import open_nursery, sleep

from bench.client.json_call import call_once
from bench.runs.process_world import ENTRIES, ProcessWorld

RUSH = {
    "queue_limit": 50,
    "queue_wait_ms": 500,
    "replica_reads": True,
    "retry_percent": 5,
    "writes_allowed": True,
}


async def define_rush(world: ProcessWorld) -> None:
    """Define the preset rush at one instance."""
    await world.change("PUT", "/v1/presets/rush", {"preset": RUSH})
    world.is_loading = True


async def watch_configuration(
    world: ProcessWorld, entry: str, seen: list[tuple[str, int, str]]
) -> None:
    """Note incarnation, version and preset until the load stops."""
    while world.is_loading:
        body = await world.status(entry)
        if body:
            seen.append((body["incarnation"], body["version"], body["preset"]))
        await sleep(0.05)
    world.writers -= 1


async def select(
    world: ProcessWorld, entry: str, name: str, answers: list[Any], version: int = 0
) -> None:
    """Select a preset and keep the answer."""
    body = {"name": name}
    if version:
        body["expected_version"] = version
    answer = await world.admin(entry, "PUT", "/v1/preset", body, 12)
    answers.append((name, *answer))


async def race(world: ProcessWorld, up_after: float) -> list[Any]:
    """Select two presets at the same version; the platform is up a little later."""
    status = await world.status("entry-1")
    answers: list[Any] = []
    async with open_nursery() as nursery:
        for entry, name in (("entry-1", "peak"), ("entry-2", "rush")):
            version = status["version"]
            nursery.start_soon(select, world, entry, name, answers, version)
        await sleep(up_after)
        await world.fleet.set_platform_fault({"mode": "up"})
    return [(status["version"], status["preset"], *answer) for answer in answers]


async def wait_same(world: ProcessWorld) -> dict[str, Any]:
    """Wait until all instances show the same configuration as the platform."""
    platform = world.fleet.layout.platform_address
    keys = {"keys": ["configuration"]}

    async def same() -> dict[str, Any]:
        _, body = await call_once(platform, "POST", "/table/read", keys)
        stored = body["rows"]["configuration"]["value"]
        shown = [await world.status(entry) for entry in ENTRIES]
        wanted = (stored["version"], stored["preset"])
        is_same = all((s.get("version"), s.get("preset")) == wanted for s in shown)
        return stored if is_same else {}

    return dict(await world.eventually(same, "one configuration everywhere"))
