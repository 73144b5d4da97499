"""Messages and time of a promotion."""

import re

from trio import sleep

from bench.launch.fleet import open_fleet
from bench.plans.deployments import SINGLE
from bench.runs.summary import Row

ROUNDS = 3
SETTLE_S = 4.0
STEP = re.compile(r"owner: step .*step=Send(\w+)")
IN_FORCE = re.compile(r"owner: term in force .* gap_ms=(\d+)")


async def measure_promotions() -> list[Row]:
    """Return one row for each killed primary, each in a new deployment."""
    return [await _measure(round) for round in range(1, ROUNDS + 1)]


async def _measure(round: int) -> Row:
    database = SINGLE.databases[0].name
    async with open_fleet(SINGLE) as fleet:
        await sleep(SETTLE_S)
        before = len(fleet.processes.log_tail("entry-1", 1_000_000))
        fleet.kill(await fleet.primary(database))
        await sleep(SETTLE_S)
        log = fleet.processes.log_tail("entry-1", 1_000_000)[before:]
    steps = STEP.findall(log)
    gaps = [int(gap) for gap in IN_FORCE.findall(log)]
    return {
        "round": round,
        "prepare": steps.count("Prepare"),
        "open": steps.count("Open"),
        "follow": steps.count("Follow"),
        "gap_ms": max(gaps, default=-1),
    }
