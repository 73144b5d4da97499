"""Runs load processes and adds up their results."""

import sys
from itertools import count
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bench.bench_error import BenchError
from bench.experiments.worker_plan import WorkerPlan
from bench.experiments.worker_result import WorkerResult
from bench.experiments.worker_total import WorkerTotal
from bench.launch.process_set import ProcessSet
from bench.load.latency import DIGITS, HIGHEST_US
from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.untyped_json import encode_json

GRACE_S = 15.0

_run_ids = count(1)


async def run_workers(
    processes: ProcessSet, directory: Path, plan: WorkerPlan, workers: int
) -> WorkerTotal:
    """Run a plan in several processes at once.

    Raises
    ------
    BenchError
        If a process does not end in time or leaves no result.
    """
    run_id = next(_run_ids)
    outputs = {}
    for index in range(workers):
        name = f"worker-{run_id}-{index}"
        file = directory / f"{name}.plan"
        seed = f"{plan.seed}-{index}"
        share = plan._replace(rate=plan.rate / workers, seed=seed)
        file.write_bytes(encode_json(share))
        outputs[name] = directory / f"{name}.json"
        command = (sys.executable, "-m", "bench.worker", str(file), str(outputs[name]))
        processes.start(name, command)
    results = []
    for name, output in outputs.items():
        if not await processes.wait(name, plan.seconds + GRACE_S):
            raise BenchError(f"{name} did not end in time")
        if not output.exists():
            raise BenchError(f"{name} failed: {processes.log_tail(name)}")
        results.append(decode_json(output.read_bytes(), WorkerResult).ok)
        processes.forget(name)
    return _add(results)


def _add(results: list[WorkerResult]) -> WorkerTotal:
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for result in results:
        histogram.decode_and_add(result.histogram.encode())
    return WorkerTotal(
        rate=sum(result.answered / result.elapsed for result in results),
        failed=sum(result.failed for result in results),
        histogram=histogram,
    )
