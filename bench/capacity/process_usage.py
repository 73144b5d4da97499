"""Processor time and memory of a process."""

import os
from pathlib import Path
from typing import NamedTuple

from trio import current_time, sleep

from bench.experiments.resident_memory import resident_mb

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """Share of a core, in percent, and resident megabytes."""

    core_percent: float
    resident_mb: float


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def measure_usage(pids: list[int], seconds: float) -> list[ProcessUsage]:
    """Measure processes over some seconds."""
    start, before = current_time(), [cpu_seconds(pid) for pid in pids]
    await sleep(seconds)
    elapsed = current_time() - start
    return [
        ProcessUsage(100 * (cpu_seconds(pid) - used) / elapsed, resident_mb(pid))
        for pid, used in zip(pids, before, strict=True)
    ]
