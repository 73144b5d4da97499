"""Demonstration of a deployment: ``python -m bench.demo saltbush|saomai``."""

import sys
from functools import partial

from bench.faults.kill_primary import KillPrimary
from bench.faults.timed_fault import TimedFault
from bench.plans.deployments import DEPLOYMENT_BY_NAME
from bench.plans.load_plan import LoadPlan
from bench.runs.list_failures import list_failures
from bench.runs.run_deployment import run_deployment
from bench.runs.run_plan import RunPlan
from bench.runs.run_result import RunResult
from bench.runs.run_until_signal import run_until_signal, show_line
from bench.runs.summary import summarize

EXIT_VIOLATION = 1
EXIT_USAGE = 2
LOAD = LoadPlan(
    rate=200.0, duration=30.0, max_operations=10_000, callers_per_workspace=5, seed=1
)
KILL_AT_S = 12.0


def main(arguments: list[str]) -> int:
    """Run the demonstration and return its exit status."""
    if len(arguments) != 1 or arguments[0] not in DEPLOYMENT_BY_NAME:
        names = "|".join(DEPLOYMENT_BY_NAME)
        print(f"usage: python -m bench.demo {names}", file=sys.stderr)
        return EXIT_USAGE
    deployment = DEPLOYMENT_BY_NAME[arguments[0]]
    fault = TimedFault(KILL_AT_S, KillPrimary(deployment.databases[0].name))
    plan = RunPlan(deployment, LOAD, (fault,), {})
    ended = run_until_signal(partial(run_deployment, plan, show_line))
    return show_result(ended.ok) if ended.is_ok() else ended.error


def show_result(result: RunResult) -> int:
    """Print the closing table and return the exit status."""
    print()
    for name, value in summarize(result).items():
        print(f"{name:24}{value}")
    violations = list_failures(result)
    for line in violations:
        print(f"VIOLATED: {line}")
    if not violations:
        print("every promise checked was kept")
    return EXIT_VIOLATION if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
