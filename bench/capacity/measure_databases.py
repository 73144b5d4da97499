"""Control work of one instance by number of databases held."""

from trio import sleep

from bench.capacity.process_usage import measure_usage
from bench.launch.fleet import open_fleet
from bench.plans.database_plan import DatabasePlan
from bench.plans.deployment_plan import DeploymentPlan
from bench.runs.summary import Row

SIZES = (1, 3, 10, 30)
SETTLE_S = 4.0
WINDOW_S = 5.0


async def measure_databases() -> list[Row]:
    """Return one row for each number of databases.

    A database has one member here, to keep the number of processes small. Probes
    cost by member, so that one of three members costs three times as many.
    """
    return [await _measure(size) for size in SIZES]


async def _measure(size: int) -> Row:
    options = ("--service-ms=0",)
    databases = tuple(
        DatabasePlan(f"swap{n}", 1, 2, 16, options) for n in range(1, size + 1)
    )
    plan = DeploymentPlan("saltbush", databases, 1, (), 0.0)
    async with open_fleet(plan) as fleet:
        await sleep(SETTLE_S)
        usage = (await measure_usage([fleet.processes.pid("entry-1")], WINDOW_S))[0]
    return {
        "databases": size,
        "core_percent": round(usage.core_percent, 2),
        "resident_mb": round(usage.resident_mb, 1),
    }
