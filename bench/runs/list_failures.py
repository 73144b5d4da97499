"""Everything for which a run counts as failed."""

from bench.check.violations import list_violations
from bench.runs.run_result import RunResult


def list_failures(result: RunResult) -> list[str]:
    """Return one line for each violated promise and each crashed process."""
    crashes = [
        f"{name} ended by itself; end of its log: {tail}"
        for name, tail in result.crashed.items()
    ]
    return list_violations(result.report) + crashes
