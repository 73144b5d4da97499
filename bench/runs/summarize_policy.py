"""Columns that tell policies apart."""

from collections import defaultdict

from bench.check.fair_share import max_min_shares
from bench.check.rate_windows import largest_excess
from bench.check.wrongly_refused import count_wrongly_refused
from bench.faults.change_preset import ChangePreset
from bench.load.latency import make_histogram, percentile_ms
from bench.load.operation_record import OperationRecord
from bench.load.outcome import Outcome
from bench.runs.run_plan import RunPlan
from bench.runs.run_result import RunResult
from bench.runs.summary import Row


def summarize_policy(plan: RunPlan, result: RunResult) -> Row:
    """Return shares, rates and counters of a run.

    Goodput counts what was acknowledged before the end of the schedule. The
    capacity shared out by max-min fairness is the goodput itself.
    """
    duration = plan.load.duration
    by_workspace: defaultdict[str, list[OperationRecord]] = defaultdict(list)
    for record in result.records:
        by_workspace[record.workspace].append(record)
    served = {
        name: sum(_is_served(r, duration) for r in records)
        for name, records in by_workspace.items()
    }
    demand = {name: float(len(records)) for name, records in by_workspace.items()}
    goodput = sum(served.values())
    fair = max_min_shares(demand, goodput)
    shares = {name: served[name] / fair[name] for name in fair if fair[name]}
    largest = max(demand, key=lambda name: demand[name], default="")
    p99s = [_p99(r) for name, r in by_workspace.items() if name != largest]
    limited = sum(a.code == "rate_limited" for r in result.records for a in r.attempts)
    row: Row = {
        "goodput_per_s": round(goodput / duration, 1),
        "worst_fair_share": round(min(shares.values(), default=0.0), 4),
        "worst_p99_ms_but_largest": max(p99s, default=0.0),
        "rate_limited_share": round(limited / max(1, len(result.records)), 5),
        "in_rate_refused": _in_rate_refused(plan, by_workspace),
        "rate_excess": round(_rate_excess(plan, by_workspace), 1),
        **{name: int(value) for name, value in result.counters.items()},
    }
    gaps = result.report.failover_gap_by_database.values()
    if gaps:
        row["failover_gaps_s"] = ", ".join(f"{gap:.3f}" for gap in gaps)
    if plan.probes_age:
        row |= {"age_reads": result.ages.reads, "age_too_old": result.ages.too_old}
    if any(isinstance(timed.fault, ChangePreset) for timed in plan.faults):
        row["preset_change"] = "; ".join(f.description for f in result.faults)
    return row


def _is_served(record: OperationRecord, duration: float) -> bool:
    return record.outcome is Outcome.ACKNOWLEDGED and record.finished <= duration


def _p99(records: list[OperationRecord]) -> float:
    done = [r for r in records if r.outcome is Outcome.ACKNOWLEDGED]
    return percentile_ms(make_histogram(r.finished - r.due for r in done), 99)


def _in_rate_refused(
    plan: RunPlan, by_workspace: dict[str, list[OperationRecord]]
) -> int:
    """Return the requests refused within the rate, whatever the reason."""
    wrong = 0
    for workspace in plan.deployment.workspaces:
        calls = [
            (r.started, r.outcome is Outcome.REFUSED)
            for r in by_workspace.get(workspace.name, [])
            if r.attempts
        ]
        wrong += count_wrongly_refused(calls, workspace.rate, workspace.burst)
    return wrong


def _rate_excess(
    plan: RunPlan, by_workspace: dict[str, list[OperationRecord]]
) -> float:
    excess = float("-inf")
    for workspace in plan.deployment.workspaces:
        spans = [
            (r.started, r.finished)
            for r in by_workspace.get(workspace.name, [])
            if r.outcome is Outcome.ACKNOWLEDGED
        ]
        worst = largest_excess(spans, workspace.rate, workspace.burst)
        excess = max(excess, worst)
    return excess
