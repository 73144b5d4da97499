"""Checks every model of the specification and refutes every mutant."""

import sys
from concurrent.futures import ProcessPoolExecutor

from spec.catalogue import MODELS
from spec.indexed_check import IndexedCheck

PROCESSES = 4


def main(names: list[str]) -> int:
    """Run all checks, or those of the models named, and print the counts."""
    chosen = [
        IndexedCheck(number, mutant)
        for number, model in enumerate(MODELS)
        if not names or model.name in names
        for mutant in (None, *range(len(model.mutants)))
    ]
    passed = 0
    with ProcessPoolExecutor(PROCESSES, max_tasks_per_child=1) as pool:
        for outcome in pool.map(IndexedCheck.run, chosen):
            print("\n".join(outcome.lines), flush=True)
            passed += outcome.passed
    print(f"{passed} checks passed, {len(chosen) - passed} failed")
    return 0 if passed == len(chosen) and chosen else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
