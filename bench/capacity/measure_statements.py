"""Processor time of a statement at entry and owner, local and forwarded."""

from pathlib import Path
from tempfile import TemporaryDirectory

from trio import sleep

from bench.capacity.process_usage import cpu_seconds, measure_usage
from bench.client.administration import raise_bounds
from bench.client.http_connection import HttpConnection
from bench.experiments.run_workers import run_workers
from bench.experiments.worker_plan import WorkerPlan
from bench.launch.fleet import Fleet, open_fleet
from bench.plans.deployments import SINGLE
from bench.runs.create_callers import create_callers
from bench.runs.summary import Row

RATE = 200.0
SECONDS = 5.0
SETTLE_S = 5.0
IDLE_S = 4.0
WORKERS = 2
STATEMENT = '{"sql":"SELECT 1 AS one","parameters":[]}'


async def measure_statements() -> list[Row]:
    """Return one row for the load through each of two instances.

    The instance that spends nearly nothing in one of the rows is not the owner.
    """
    with TemporaryDirectory(prefix="jackdawspread-bench-") as path:
        async with open_fleet(SINGLE._replace(instances=2)) as fleet:
            workspace, addresses = SINGLE.workspaces[0], fleet.layout.instance_by_name
            admin, credential = (
                addresses["entry-1"].admin,
                fleet.layout.operator_credential,
            )
            await raise_bounds(admin, credential, workspace.rate, workspace.burst)
            key = (await create_callers(fleet, 1))[0].key
            await sleep(SETTLE_S)
            pids = [fleet.processes.pid(name) for name in addresses]
            idle = await measure_usage(pids, IDLE_S)
            shares = [usage.core_percent / 100 for usage in idle]
            return [
                await _load(fleet, Path(path), name, key, shares) for name in addresses
            ]


async def _load(
    fleet: Fleet, directory: Path, entry: str, key: str, shares: list[float]
) -> Row:
    target = f"/v1/databases/{SINGLE.databases[0].name}/read"
    headers = [("Authorization", f"Bearer {key}")]
    address = fleet.layout.instance_by_name[entry].caller
    connection = HttpConnection(address)
    reply = await connection.call("POST", target, STATEMENT.encode(), tuple(headers))
    assert reply.status == 200, reply
    await connection.aclose()
    plan = WorkerPlan(address, target, STATEMENT, headers, 8, SECONDS, RATE, False, "1")
    pids = [fleet.processes.pid(name) for name in fleet.layout.instance_by_name]
    before = [cpu_seconds(pid) for pid in pids]
    total = await run_workers(fleet.processes, directory, plan, WORKERS)
    used = [cpu_seconds(pid) - start for pid, start in zip(pids, before, strict=True)]
    statements = total.rate * SECONDS
    row: Row = {
        "entry": entry,
        "statements": round(statements),
        "failed": total.failed,
    }
    for name, seconds, share in zip(
        fleet.layout.instance_by_name, used, shares, strict=True
    ):
        idle = share * SECONDS
        row[f"{name}_idle_percent"] = round(100 * share, 1)
        row[f"{name}_us_each"] = round(1e6 * (seconds - idle) / statements)
    return row
