"""Measures an instance against a bare relay and against the member itself."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from trio import sleep

from bench.bench_error import BenchError
from bench.client.administration import raise_bounds
from bench.client.http_connection import HttpConnection
from bench.experiments.relay_experiment import RelayExperiment
from bench.experiments.resident_memory import resident_mb
from bench.experiments.run_workers import run_workers
from bench.experiments.worker_plan import WorkerPlan
from bench.experiments.worker_total import WorkerTotal
from bench.launch.fleet import Fleet, open_fleet
from bench.launch.ports import free_addresses
from bench.load.latency import percentile_ms
from bench.runs.create_callers import create_callers
from bench.runs.summary import Row

Load = Callable[[WorkerPlan], Awaitable[WorkerTotal]]
RELAY_CONNECTIONS = 64
ATTEMPTS, RETRY_S = 100, 0.05
STATEMENT = '{"sql":"SELECT 1 AS one","parameters":[]}'
MEMBER_BODY = (
    '{"statement":' + STATEMENT + ',"term":0,"position":null,"wait_ms":0,'
    '"offset":0,"page_rows":1000}'
)
SETTLE_S = 0.5


async def measure_relay(
    experiment: RelayExperiment, show: Callable[[str], None]
) -> list[Row]:
    """Return one row each for the member, the relay and the instance."""
    rows: list[Row] = []
    with TemporaryDirectory(prefix="jackdawspread-bench-") as path:
        async with open_fleet(experiment.deployment) as fleet:
            plans = await _worker_plans(experiment, fleet)

            async def load(plan: WorkerPlan) -> WorkerTotal:
                workers = experiment.workers
                return await run_workers(fleet.processes, Path(path), plan, workers)

            for name, plan in plans.items():
                row: Row = {"variant": name}
                rows.append(row | await _measure(load, plan, plans))
                show(str(rows[-1]))
            rows[-1] |= await _idle_memory(fleet, experiment.idle_connections)
            show(str(rows[-1]))
    return rows


async def _measure(load: Load, plan: WorkerPlan, plans: dict[str, WorkerPlan]) -> Row:
    """Measure the highest rate, and the latency at half of it.

    Added latency is the difference to the member's median at the same rate.
    """
    full = await load(plan)
    half = await load(plan._replace(rate=full.rate / 2))
    base = await load(plans["member"]._replace(rate=full.rate / 2))
    median = percentile_ms(half.histogram, 50)
    return {
        "statements_per_s": round(full.rate, 1),
        "failed": full.failed + half.failed + base.failed,
        "p50_ms_at_half": median,
        "p99_ms_at_half": percentile_ms(half.histogram, 99),
        "added_p50_ms": round(median - percentile_ms(base.histogram, 50), 3),
    }


async def _worker_plans(
    experiment: RelayExperiment, fleet: Fleet
) -> dict[str, WorkerPlan]:
    database = fleet.plan.databases[0].name
    addresses = next(iter(fleet.layout.instance_by_name.values()))
    workspace = fleet.plan.workspaces[0]
    # The head office's highest rate would otherwise bound the measurement.
    await raise_bounds(
        addresses.admin,
        fleet.layout.operator_credential,
        workspace.rate,
        workspace.burst,
    )
    key = (await create_callers(fleet, 1))[0].key
    headers = [("Authorization", f"Bearer {key}")] if key else []
    target = f"/v1/databases/{database}/read"
    await _wait_answering(addresses.caller, "POST", target, dict(headers))
    # The first read shows that the owner has opened the primary.
    name = await fleet.primary(database)
    member = fleet.layout.members_by_database[database][name]
    relay = free_addresses(1)[0]
    command = (sys.executable, "-m", "bench.relay", relay, member)
    fleet.processes.start("relay", (*command, str(RELAY_CONNECTIONS)))
    await _wait_answering(relay, "GET", "/healthz", {})
    direct = WorkerPlan(
        address=member,
        target="/read",
        body=MEMBER_BODY,
        headers=[],
        connections=experiment.connections,
        seconds=experiment.seconds,
        rate=0.0,
        connects=True,
        seed=str(experiment.seed),
    )
    through = direct._replace(target=target, body=STATEMENT, connects=False)
    return {
        "member": direct,
        "relay": through._replace(address=relay),
        "instance": through._replace(address=addresses.caller, headers=headers),
    }


async def _wait_answering(
    address: str, method: str, target: str, headers: dict[str, str]
) -> None:
    for _ in range(ATTEMPTS):
        connection = HttpConnection(address)
        body = STATEMENT.encode() if method == "POST" else b""
        reply = await connection.call(method, target, body, tuple(headers.items()))
        await connection.aclose()
        if reply.status == 200:
            return
        await sleep(RETRY_S)
    raise BenchError(f"no answer to {method} {target} at {address}")


async def _idle_memory(fleet: Fleet, count: int) -> Row:
    """Open connections that stay idle after one request each."""
    name, addresses = next(iter(fleet.layout.instance_by_name.items()))
    pid = fleet.processes.pid(name)
    before = resident_mb(pid)
    connections = [HttpConnection(addresses.caller) for _ in range(count)]
    try:
        for connection in connections:
            reply = await connection.call("GET", "/healthz")
            if reply.status != 200:
                raise BenchError(f"an idle connection failed: {reply.error}")
        await sleep(SETTLE_S)
        held = resident_mb(pid)
    finally:
        for connection in connections:
            await connection.aclose()
    return {
        "idle_connections": count,
        "resident_mb_before": round(before, 1),
        "resident_mb_idle": round(held, 1),
    }
