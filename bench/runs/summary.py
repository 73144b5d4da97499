"""Rows that summarize a run."""

from collections import Counter

from bench.load.latency import make_histogram, percentile_ms
from bench.load.outcome import Outcome
from bench.runs.run_result import RunResult

Row = dict[str, str | int | float]


def summarize(result: RunResult) -> Row:
    """Return one flat row of a run, latencies in milliseconds, gaps in seconds."""
    report, records = result.report, result.records
    done = [r for r in records if r.outcome is Outcome.ACKNOWLEDGED]
    counts = {o.value: sum(r.outcome is o for r in records) for o in Outcome}
    reads = make_histogram(r.finished - r.due for r in done if not r.call.writes)
    writes = make_histogram(r.finished - r.due for r in done if r.call.writes)
    gaps = report.failover_gap_by_database
    share = report.replica_reads / report.stale_reads if report.stale_reads else 0.0
    return {
        "operations": len(records),
        **counts,
        "refused_calls": _refused_calls(result),
        "read_p50_ms": percentile_ms(reads, 50),
        "read_p99_ms": percentile_ms(reads, 99),
        "write_p50_ms": percentile_ms(writes, 50),
        "write_p99_ms": percentile_ms(writes, 99),
        "binding_acknowledged": report.acknowledged,
        "binding_lost": len(report.lost),
        "binding_doubled": len(report.doubled),
        "totals_wrong": len(report.mismatches) + len(report.unclaimed),
        "refused_not_run": report.refused_not_run,
        "ran_despite_refusal": len(report.ran_despite_refusal),
        "own_reads": report.own_reads,
        "own_reads_missing": len(report.own_reads_missing),
        "wrong_answers": len(report.wrong_answers),
        "stale_reads": report.stale_reads,
        "replica_share": round(share, 4),
        "failover_gap_s": round(max(gaps.values(), default=0.0), 3),
        "worst_workspace": report.worst_workspace,
        "worst_share": round(report.worst_share, 4),
        "logs_unread": len(report.logs_unread),
        "crashed": len(result.crashed),
        "killed_at_stop": len(result.killed_at_stop),
    }


def _refused_calls(result: RunResult) -> str:
    """Return how often each code and ran was answered, over all attempts."""
    attempts = (a for r in result.records for a in r.attempts if a.code)
    counts = Counter(f"{a.code}/{a.ran}" for a in attempts)
    return ", ".join(f"{name}={count}" for name, count in sorted(counts.items()))
