"""Measures the resident memory of idle sessions of callers, and of open connections.

Usage: ``python -m bench.session_memory``. It starts the process of an instance beside
the stand-ins of the features, and prints the slope between the numbers of connections.
"""

import resource
import sys
from pathlib import Path
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from features.steps.hostile_client_steps import (
    DATA_BY_TEXT,
    _crowd,
    instance_process,
)
from features.support.process_limits import resident_memory_kb, wait_until_idle

COUNTS = (500, 1000, 2000, 3000)
MEMORY_MB = 1024
DESCRIPTORS = 4300


def measure(messages: str) -> None:
    """Open connections step by step and print the memory after each."""
    cleanups = []
    context = SimpleNamespace(
        add_cleanup=lambda function, *args: cleanups.append((function, args))
    )
    instance_process(context, MEMORY_MB, DESCRIPTORS)
    try:
        wait_until_idle(context.process.pid)
        before_kb, before = resident_memory_kb(context.process.pid), 0
        print(f"{messages}: 0 connections, {before_kb} KB")
        for count in COUNTS:
            _crowd(context).send(count - before, DATA_BY_TEXT[messages])
            wait_until_idle(context.process.pid)
            memory_kb = resident_memory_kb(context.process.pid)
            slope = 1024 * (memory_kb - before_kb) / (count - before)
            print(
                f"{messages}: {count} connections, {memory_kb} KB, {slope:.0f} B each"
            )
            before_kb, before = memory_kb, count
    finally:
        for function, args in reversed(cleanups):
            function(*args)


def main() -> None:
    """Measure idle sessions, then connections that send nothing."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    measure("a handshake")
    measure("nothing")


if __name__ == "__main__":
    main()
