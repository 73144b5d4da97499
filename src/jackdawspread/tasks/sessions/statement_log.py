"""Logs and counts answered statements."""

from functools import singledispatch

from absl import logging

from jackdawspread.decisions.sessions.statement_outcome import StatementOutcome
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.messages.statements.statement_success import StatementSuccess
from jackdawspread.tasks.sessions.session_metrics import (
    READS,
    STATEMENT_SECONDS,
    STATEMENTS,
)


def log_statement(
    database: str,
    request: SessionRequest,
    phase_before: SessionPhase,
    admitted: OperationAdmitted | None,
    outcome: StatementOutcome,
    elapsed_s: float,
) -> None:
    """Log the inputs and the result of a statement, and count it.

    Statements that the proxy answers itself without an error are only counted.
    """
    kind = type(request.statement).__name__
    consistency = admitted.route.consistency.value if admitted else "none"
    code = _code(outcome.result)
    STATEMENTS.labels(consistency, kind, code).inc()
    STATEMENT_SECONDS.labels(consistency, kind).observe(elapsed_s)
    if outcome.attempts == 0 and code == "done":
        return
    if code == "done" and "Read" in kind:
        READS.labels(
            "primary" if outcome.conditions_text.startswith("lead") else "replica"
        ).inc()
    logging.info(
        "session: statement id=%s kind=%s database=%s workspace=%s phase=%s "
        "version=%s version_age_ms=%s newest_version=%s member=%s terms=%s "
        "attempts=%d elapsed_ms=%.1f outcome=%s %s%s",
        request.id,
        kind,
        database,
        admitted.workspace if admitted else "none",
        phase_before.value,
        admitted.version if admitted else "none",
        round(1000 * admitted.age_s) if admitted else "none",
        admitted.newest_version if admitted else "none",
        outcome.member or "none",
        outcome.conditions_text or "none",
        outcome.attempts,
        1000 * elapsed_s,
        code,
        _reason(outcome.result),
        _describe_commit(outcome),
    )


def _describe_commit(outcome: StatementOutcome) -> str:
    """Return the position of an acknowledged write, and why it is acknowledged.

    The result is empty for other statements.
    """
    basis = f" basis={outcome.basis}" if outcome.basis else ""
    if outcome.position is None:
        return basis
    return f" position={outcome.position.term}.{outcome.position.sequence}{basis}"


@singledispatch
def _code(result: object) -> str:
    raise TypeError(f"no code for a {type(result).__name__}")


@_code.register
def _(result: StatementSuccess) -> str:
    return "done"


@_code.register
def _(result: Refusal) -> str:
    return result.code


@singledispatch
def _reason(result: object) -> str:
    raise TypeError(f"no reason for a {type(result).__name__}")


@_reason.register
def _(result: StatementSuccess) -> str:
    return f"rows={len(result.rows)}"


@_reason.register
def _(result: Refusal) -> str:
    return (
        f"ran={result.ran.value} step={result.step} peer={result.peer or 'none'} "
        f"reason={result.detail!r}"
    )
