"""Memory of an instance by number of idle caller connections."""

from trio import sleep

from bench.client.http_connection import HttpConnection
from bench.experiments.resident_memory import resident_mb
from bench.launch.fleet import open_fleet
from bench.plans.deployments import SINGLE
from bench.runs.summary import Row

SIZES = (500, 1_000, 2_600)
SETTLE_S = 1.0


async def measure_connections() -> list[Row]:
    """Return one row for each number; the first ones stay open for the next."""
    rows: list[Row] = []
    async with open_fleet(SINGLE) as fleet:
        await sleep(SETTLE_S)
        pid = fleet.processes.pid("entry-1")
        caller = fleet.layout.instance_by_name["entry-1"].caller
        base = resident_mb(pid)
        connections: list[HttpConnection] = []
        for size in SIZES:
            while len(connections) < size:
                connections.append(HttpConnection(caller))
                await connections[-1].call("GET", "/healthz")
            await sleep(SETTLE_S)
            held = resident_mb(pid)
            rows.append(
                {
                    "connections": size,
                    "resident_mb": round(held, 1),
                    "bytes_each": round(1e6 * (held - base) / size),
                }
            )
        for connection in connections:
            await connection.aclose()
    return rows
