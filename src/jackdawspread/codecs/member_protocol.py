"""Encoding of calls to members over HTTP, and decoding of their answers."""

from hashlib import sha256
from typing import Any

from msgspec import convert

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.decisions.owner.member_answer import MemberAnswer
from jackdawspread.decisions.owner.member_call_failure import MemberCallFailure
from jackdawspread.decisions.owner.member_refusal import MemberRefusal
from jackdawspread.decisions.owner.member_status import MemberStatus
from jackdawspread.decisions.owner.member_target import MemberTarget
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.position import Position
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.statement import Statement
from jackdawspread.messages.statement_result import StatementResult

MemberOutcome = MemberAnswer | MemberRefusal | MemberCallFailure
Call = tuple[str, dict[str, Any]]
# ValueError includes msgspec's ValidationError.
DECODE_ERRORS = (AttributeError, KeyError, OverflowError, TypeError, ValueError)


def encode_read(request: RoutedRequest, target: MemberTarget, term: int) -> Call:
    """Encode a read.

    A read at a replica has term 0, which a member accepts in any role.
    """
    return "/read", {
        "statement": _statement(request.statements[0]),
        "term": term if target.role == "primary" else 0,
        "position": target.position,
        "wait_ms": target.wait_ms,
        "offset": request.offset,
        "page_rows": request.page_rows,
    }


def encode_statement(running: RunningRequest, term: int, transaction: str) -> Call:
    """Encode a request other than a read, for the primary of a term."""
    request = running.request
    kind = request.kind
    identity = {"term": term, "workspace": request.workspace}
    if kind is RequestKind.OUTCOME or running.is_outcome_lookup:
        return "/outcome", {**identity, "request_id": request.idempotency_key}
    if kind is RequestKind.BEGIN:
        return "/begin", identity
    if kind is RequestKind.EXECUTE:
        statement = _statement(request.statements[0])
        return "/execute", {"transaction": transaction, "statement": statement}
    if kind is RequestKind.ROLLBACK:
        return "/rollback", {"transaction": transaction}
    identity["request_id"] = request.idempotency_key
    if kind is RequestKind.COMMIT:
        digest = _digest(request.transaction_id)
        return "/commit", {**identity, "transaction": transaction, "digest": digest}
    statements = [_statement(statement) for statement in request.statements]
    digest = _digest(statements)
    return "/write", {**identity, "digest": digest, "statements": statements}


def decode_outcome(outcome: HttpOutcome) -> MemberOutcome:
    """Decode the outcome of a call."""
    if outcome.status == 0:
        return MemberCallFailure(outcome.sent, outcome.error)
    body = outcome.body
    if outcome.status != 200:
        code = str(body.get("code", "member_error"))
        return MemberRefusal(code, str(body.get("detail", "")))
    try:
        return _answer(body)
    except DECODE_ERRORS:
        return MemberCallFailure(True, "the member's answer is malformed")


def decode_status(
    address: str, probe_sent_at: float, body: dict[str, Any]
) -> MemberStatus | None:
    """Decode the answer to a status query; None if it is malformed."""
    try:
        return MemberStatus(
            address=address,
            role=str(body["role"]),
            term=int(body["term"]),
            promised=int(body["promised"]),
            position=decode_position(body["position"]),
            applied=decode_position(body["applied"]),
            upstream_age=_seconds(body.get("upstream_age_ms")),
            probe_sent_at=probe_sent_at,
        )
    except DECODE_ERRORS:
        return None


def decode_position(value: Any) -> Position:
    """Decode ``[term, sequence]``."""
    term, sequence = value
    return Position(int(term), int(sequence))


def _seconds(milliseconds: Any) -> float:
    return float("inf") if milliseconds is None else float(milliseconds) / 1000


def _answer(body: dict[str, Any]) -> MemberAnswer:
    items = body.get("results")
    if items is None:
        items = [body] if "columns" in body else []
    position = body.get("position")
    return MemberAnswer(
        results=tuple(_result(item) for item in items),
        position=None if position is None else decode_position(position),
        more=bool(body.get("more", False)),
        is_replayed=bool(body.get("replayed", False)),
        is_found=bool(body.get("found", True)),
        transaction=str(body.get("transaction", "")),
    )


def _result(item: dict[str, Any]) -> StatementResult:
    rows = tuple(tuple(row) for row in item["rows"])
    result = (tuple(item["columns"]), rows, item.get("changes", 0))
    return convert(result, StatementResult)


def _statement(statement: Statement) -> dict[str, Any]:
    return {"sql": statement.sql, "parameters": statement.parameters}


def _digest(value: Any) -> str:
    return sha256(encode_json(value)).hexdigest()
