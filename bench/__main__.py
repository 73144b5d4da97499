"""Experiments: ``python -m bench`` runs all, ``python -m bench NAME`` one."""

import sys
from functools import partial

from bench.experiments.catalogue import EXPERIMENT_BY_NAME
from bench.experiments.run_experiment import run_experiment
from bench.experiments.write_results import format_table, write_results
from bench.runs.run_until_signal import (
    EXIT_FAILED,
    EXIT_INTERRUPTED,
    run_until_signal,
    show_line,
)

EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run the named experiments, or all, and return the exit status."""
    unknown = [name for name in arguments if name not in EXPERIMENT_BY_NAME]
    if unknown or not arguments:
        show_line(f"experiments: {', '.join(EXPERIMENT_BY_NAME)}")
    if unknown:
        show_line(f"no such experiment: {', '.join(unknown)}")
        return EXIT_USAGE
    worst = 0
    for name in arguments or EXPERIMENT_BY_NAME:
        status = _run(name)
        if status == EXIT_INTERRUPTED:
            return status
        worst = max(worst, status)
    return worst


def _run(name: str) -> int:
    show_line(f"== {name}")
    experiment = EXPERIMENT_BY_NAME[name]
    ended = run_until_signal(partial(run_experiment, experiment, show_line))
    if ended.is_error():
        return ended.error
    write_results(experiment, ended.ok)
    show_line(format_table(ended.ok))
    violated = any(row.get("violations", 0) for row in ended.ok)
    return EXIT_FAILED if violated else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
