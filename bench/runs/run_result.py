"""Result of a complete run."""

from typing import NamedTuple

from bench.check.check_report import CheckReport
from bench.faults.applied_fault import AppliedFault
from bench.load.age_probe import AgeReport
from bench.load.operation_record import OperationRecord


class RunResult(NamedTuple):
    """Records, applied faults and checks of a run.

    ``counters`` are sums over the instances that still answered at the end;
    ``killed_at_stop`` names the instances that did not stop in time when asked,
    ``crashed`` the processes that ended by themselves, with the end of their logs.
    """

    records: list[OperationRecord]
    faults: list[AppliedFault]
    report: CheckReport
    killed_at_stop: list[str]
    crashed: dict[str, str]
    counters: dict[str, float]
    ages: AgeReport
