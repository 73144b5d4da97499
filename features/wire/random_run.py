"""Runs seeded random faults: ``python -m features.wire.random_run FIRST LAST SECONDS``.

The name of a mix of faults may follow (``fault_mixes.py``), and then the folder of the
packages of another version, which one instance runs. With ``found`` in place of the
numbers it repeats the seeds that have lost writes. Prints one line for each seed, and
the logs of those with a fault.
"""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from features.wire.fault_mixes import MIX_BY_NAME
from features.wire.fault_step import FaultStep
from features.wire.found_seeds import FOUND_SEEDS
from features.wire.plan_faults import plan_faults
from features.wire.process_fleet import ProcessFleet
from features.wire.random_faults import RandomFaults
from trio import TooSlowError

# Bounds a hang only. A request without an answer may block a group for about 35 s.
PROGRESS_TIMEOUT_S = 120.0
ACKNOWLEDGED_AT_END = 30
OTHER_VERSION = "i3"
LOG_WORDS = ("succession:", "acknowledg", "term changed")


def run_seed(
    seed: int, seconds: float, mix: str, source_by_name: dict[str, Path]
) -> tuple[list[str], str, list[str]]:
    """Return the faults of a run, its counts, and lines of the logs."""
    with TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder), source_by_name=source_by_name)
        try:
            fleet.start()
            steps = plan_faults(seed, seconds, MIX_BY_NAME[mix])
            found = _execute(fleet, steps, seconds)
            ledger = fleet.ledger
            counts = (
                f"promotions={fleet.checker.promotions} "
                f"acknowledged={len(ledger.instance_by_acknowledged)} "
                f"not_run={len(ledger.not_run)} unknown={len(ledger.unknown)}"
            )
            return found, counts, fleet.log_lines(*LOG_WORDS) + list(map(str, steps))
        finally:
            fleet.close()


def _execute(
    fleet: ProcessFleet, steps: tuple[FaultStep, ...], seconds: float
) -> list[str]:
    faults = RandomFaults(fleet)
    try:
        fleet.wait(faults.run, steps, timeout_s=PROGRESS_TIMEOUT_S + seconds)
        fleet.wait(
            fleet.ledger.wait_for_acknowledged,
            ACKNOWLEDGED_AT_END,
            timeout_s=PROGRESS_TIMEOUT_S,
        )
    except TooSlowError:
        return [*fleet.checker.faults, "no progress at the end"]
    return fleet.finish()


def main() -> None:
    """Run a range of seeds."""
    source_by_name = {}
    if sys.argv[1:] == ["found"]:
        runs = [(found.seed, found.seconds, found.mix) for found in FOUND_SEEDS]
    else:
        first, last, seconds = (int(text) for text in sys.argv[1:4])
        mix, *sources = sys.argv[4:] or ["recorded"]
        runs = [(seed, seconds, mix) for seed in range(first, last + 1)]
        if sources:
            source_by_name[OTHER_VERSION] = Path(sources[0])
    for seed, seconds, mix in runs:
        faults, counts, lines = run_seed(seed, seconds, mix, source_by_name)
        print(f"seed={seed} {counts} faults={faults or 'none'}", flush=True)
        if faults:
            print(*lines, sep="\n", flush=True)


if __name__ == "__main__":
    main()
