"""Promises violated in a run."""

from bench.check.check_report import CheckReport


def list_violations(report: CheckReport) -> list[str]:
    """Return one line for each violated promise; an unchecked one counts too."""
    ids_by_promise = {
        "binding records lost": report.lost,
        "binding records doubled": report.doubled,
        "records of writes acknowledged as without effect": report.unclaimed,
        "totals that disagree with their records": report.mismatches,
        "refusals marked not_run that ran": report.ran_despite_refusal,
        "read-your-writes violations": report.own_reads_missing,
        "answers delivered to the wrong caller": report.wrong_answers,
        "databases that could not be checked": report.unread,
    }
    lines = [
        f"{len(ids)} {promise}, first: {ids[0]}"
        for promise, ids in ids_by_promise.items()
        if ids
    ]
    if not report.acknowledged:
        lines.append("no binding write was acknowledged")
    lines += [
        f"database {database}: no write was acknowledged after its primary was lost"
        for database, gap in report.failover_gap_by_database.items()
        if gap == float("inf")
    ]
    return lines
