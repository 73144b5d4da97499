"""Control work and spread of a change by number of instances."""

from statistics import median

from trio import current_time, sleep

from bench.bench_error import BenchError
from bench.capacity.process_usage import measure_usage
from bench.client.administration import raise_bounds
from bench.client.http_connection import Headers, HttpConnection
from bench.client.json_call import call_json
from bench.launch.fleet import Fleet, open_fleet
from bench.plans.database_plan import DatabasePlan
from bench.plans.deployment_plan import DeploymentPlan
from bench.runs.summary import Row

SIZES = (2, 4, 8, 12)
CHANGES = 10
SETTLE_S = 5.0
WINDOW_S = 5.0
POLL_S = 0.005


async def measure_groups() -> list[Row]:
    """Return one row for each size of a group before one idle database."""
    return [await _measure(size) for size in SIZES]


async def _measure(size: int) -> Row:
    database = DatabasePlan("swap1", 1, 2, 16, ("--service-ms=0",))
    plan = DeploymentPlan("saltbush", (database,), size, (), 0.0)
    async with open_fleet(plan) as fleet:
        await sleep(SETTLE_S)
        pids = [fleet.processes.pid(name) for name in fleet.layout.instance_by_name]
        usages = await measure_usage(pids, WINDOW_S)
        delays = await _spread(fleet)
    return {
        "instances": size,
        "core_percent_median": round(median(u.core_percent for u in usages), 2),
        "core_percent_max": round(max(u.core_percent for u in usages), 2),
        "resident_mb_median": round(median(u.resident_mb for u in usages), 1),
        "change_ms_median": round(1000 * median(delays), 1),
        "change_ms_max": round(1000 * max(delays), 1),
    }


async def _spread(fleet: Fleet) -> list[float]:
    """Return the seconds from the answer to a change until all report it."""
    admins = [addresses.admin for addresses in fleet.layout.instance_by_name.values()]
    credential = fleet.layout.operator_credential
    connections = [HttpConnection(admin) for admin in admins]
    headers = (("Authorization", f"Bearer {credential}"),)
    delays = []
    for index in range(CHANGES):
        await raise_bounds(admins[0], credential, 1000.0 + index, 2000)
        start = current_time()
        wanted = await _version(connections[0], headers)
        for connection in connections[1:]:
            while await _version(connection, headers) < wanted:
                if current_time() > start + 10:
                    raise BenchError(f"{connection.address} misses the change")
                await sleep(POLL_S)
        delays.append(current_time() - start)
        await sleep(0.13)
    for connection in connections:
        await connection.aclose()
    return delays


async def _version(connection: HttpConnection, headers: Headers) -> int:
    _, body = await call_json(connection, "GET", "/v1/configuration", None, headers)
    return int(body.get("version", 0))
