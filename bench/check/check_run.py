"""Compares what callers saw with what the databases hold."""

from collections import Counter
from collections.abc import Sequence

from bench.check.check_report import CheckReport
from bench.check.database_contents import DatabaseContents
from bench.faults.applied_fault import AppliedFault
from bench.load.operation_record import OperationRecord
from bench.load.outcome import Outcome


def check_run(
    records: Sequence[OperationRecord],
    contents_by_database: dict[str, DatabaseContents],
    log_texts: set[str],
    logs_unread: Sequence[str],
    faults: Sequence[AppliedFault],
) -> CheckReport:
    """Return the counts of a run.

    Parameters
    ----------
    records : sequence of OperationRecord
        What callers saw.
    contents_by_database : dict of str to DatabaseContents
        What the databases hold.
    log_texts : set of str
        Every string in the members' logs.
    logs_unread : sequence of str
        Members whose log could not be read.
    faults : sequence of AppliedFault
        What was disturbed.
    """
    readable = {k: v for k, v in contents_by_database.items() if not v.error}
    stored = Counter(id for v in readable.values() for id in v.records)
    acknowledged = [r for r in records if r.outcome is Outcome.ACKNOWLEDGED]
    binding = [r for r in acknowledged if r.call.binding and r.database in readable]
    refused = [r for r in records if _is_refused_not_run(r)]
    report = CheckReport(
        acknowledged=sum(r.effective for r in acknowledged),
        lost=tuple(r.id for r in binding if r.effective and r.id not in stored),
        doubled=tuple(id for id, count in stored.items() if count > 1),
        unclaimed=tuple(r.id for r in binding if not r.effective and r.id in stored),
        mismatches=tuple(
            str(row[0]) for v in readable.values() for row in v.mismatches
        ),
        refused_not_run=len(refused),
        ran_despite_refusal=tuple(
            r.id for r in refused if r.id in stored or r.id in log_texts
        ),
        unread=tuple(k for k, v in contents_by_database.items() if v.error),
        logs_unread=tuple(logs_unread),
    )
    report = _add_reads(report, acknowledged)
    gaps = _failover_gaps(acknowledged, faults)
    name, share = _worst_served(records)
    return report._replace(
        failover_gap_by_database=gaps, worst_workspace=name, worst_share=share
    )


def _add_reads(
    report: CheckReport, acknowledged: Sequence[OperationRecord]
) -> CheckReport:
    own = [r for r in acknowledged if r.call.reads_own]
    stale = [r for r in acknowledged if r.call.max_staleness_ms is not None]
    return report._replace(
        own_reads=len(own),
        own_reads_missing=tuple(r.id for r in own if r.missing),
        wrong_answers=tuple(r.id for r in acknowledged if not r.marker_matches),
        replica_reads=sum(r.role == "replica" for r in stale),
        stale_reads=len(stale),
    )


def _is_refused_not_run(record: OperationRecord) -> bool:
    return bool(record.attempts) and all(a.ran == "not_run" for a in record.attempts)


def _failover_gaps(
    acknowledged: Sequence[OperationRecord], faults: Sequence[AppliedFault]
) -> dict[str, float]:
    """Return the longest time between acknowledged writes that ends after a fault.

    Writes that were already under way may be acknowledged just after the fault, so
    the gap is not taken at the time of the fault itself.
    """
    gaps = {}
    for fault in faults:
        if not fault.database:
            continue
        times = sorted(
            r.finished
            for r in acknowledged
            if r.call.writes and r.database == fault.database
        )
        pairs = zip(times, times[1:], strict=False)
        spans = [after - before for before, after in pairs if after > fault.at]
        gaps[fault.database] = max(spans, default=float("inf"))
    return gaps


def _worst_served(records: Sequence[OperationRecord]) -> tuple[str, float]:
    asked = Counter(r.workspace for r in records)
    served = Counter(r.workspace for r in records if r.outcome is Outcome.ACKNOWLEDGED)
    shares = [(served[name] / count, name) for name, count in asked.items()]
    share, name = min(shares, default=(0.0, ""))
    return name, share
