"""Load of one process: ``python -m bench.worker PLAN OUTPUT``, both JSON files.

One process of the bench could not saturate an instance, so that several of these
share the load.
"""

import sys
from pathlib import Path
from random import Random

from trio import current_time, open_nursery, run, sleep_until

from bench.client.http_connection import HttpConnection
from bench.client.json_call import call_json
from bench.experiments.worker_plan import WorkerPlan
from bench.experiments.worker_result import WorkerResult
from bench.load.latency import make_histogram
from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.untyped_json import encode_json


async def run_worker(plan: WorkerPlan) -> WorkerResult:
    """Send calls over all connections until the time is over.

    With a rate the gaps are exponential and latency counts from the intended
    time; without one each connection sends as soon as it is answered.
    """
    latencies: list[float] = []
    failed: list[int] = []
    start = current_time() + 0.2
    async with open_nursery() as nursery:
        for index in range(plan.connections):
            nursery.start_soon(_send, plan, index, start, latencies, failed)
    elapsed = current_time() - start
    encoded = make_histogram(latencies).encode()
    return WorkerResult(len(latencies), len(failed), elapsed, encoded.decode())


async def _send(
    plan: WorkerPlan,
    index: int,
    start: float,
    latencies: list[float],
    failed: list[int],
) -> None:
    connection = HttpConnection(plan.address)
    if plan.connects:
        await call_json(connection, "POST", "/connect", {"instance": "bench"})
    # Exponential gaps keep the calls of different processes from falling together.
    random = Random(f"{plan.seed}-{index}")
    rate = plan.rate / plan.connections
    due = start + (random.expovariate(rate) if rate else 0.0)
    while due < start + plan.seconds:
        await sleep_until(due)
        reply = await connection.call(
            "POST", plan.target, plan.body.encode(), tuple(plan.headers)
        )
        now = current_time()
        if reply.status == 200:
            latencies.append(now - due)
        else:
            failed.append(reply.status)
        due = due + random.expovariate(rate) if rate else now
    await connection.aclose()


def main(plan_path: str, output_path: str) -> None:
    """Run the load of a plan file and write the result file."""
    plan = decode_json(Path(plan_path).read_bytes(), WorkerPlan).ok
    result = run(run_worker, plan)
    Path(output_path).write_bytes(encode_json(result))


if __name__ == "__main__":
    main(*sys.argv[1:3])
