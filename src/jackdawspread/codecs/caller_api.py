"""Caller API over HTTP and JSON."""

from typing import NotRequired, TypedDict

from expression import Error, Ok, Result

from jackdawspread.codecs.json_body import decode_json, encode_json
from jackdawspread.messages.admitted_reply import AdmittedReply
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.caller_request import CallerRequest
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.ran import Ran
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.statement import Scalar, Statement

DEFAULT_DEADLINE_MS = 5_000
MAX_DEADLINE_MS = 60_000
MAX_PAGE_ROWS = 1_000
MAX_STATEMENTS = 100
MAX_NAME_LENGTH = 128
JSON_HEADER = ("Content-Type", "application/json")

STATUS_BY_CODE = {
    "malformed_request": 400,
    "bad_statement": 400,
    "bad_session_token": 400,
    "idempotency_key_required": 400,
    "unauthorized": 401,
    "forbidden": 403,
    "unknown_database": 404,
    "unknown_transaction": 404,
    "unknown_route": 404,
    "request_id_conflict": 409,
    "commit_conflict": 409,
    "diverged": 409,
    "behind": 409,
    "statement_failed": 422,
    "rate_limited": 429,
    "queue_full": 503,
    "deadline_exceeded": 504,
    "outcome_unknown": 504,
}
DEFAULT_REFUSAL_STATUS = 503


class StatementBody(TypedDict):
    """One statement of a body."""

    sql: str
    parameters: NotRequired[list[Scalar]]


class ReadBody(StatementBody):
    """Body of a read."""

    page_rows: NotRequired[int]
    offset: NotRequired[int]


class WriteBody(TypedDict):
    """Body of a write."""

    statements: list[StatementBody]


def decode_caller_request(
    request: HttpRequest, now: float
) -> Result[CallerRequest, Refusal]:
    """Decode an HTTP request of a caller.

    Parameters
    ----------
    request : HttpRequest
        The request.
    now : float
        Monotonic time in seconds from which the deadline counts.
    """
    path = request.target.partition("?")[0].strip("/").split("/")
    match (request.method, path):
        case ("POST", ["v1", "databases", database, "read"]):
            return _decode_read(request, database, now)
        case ("POST", ["v1", "databases", database, "write"]):
            return _decode_write(request, database, now)
        case ("GET", ["v1", "databases", database, "requests", request_id]):
            return _base(request, RequestKind.OUTCOME, now, database=database).map(
                lambda base: base._replace(idempotency_key=request_id)
            )
        case ("POST", ["v1", "databases", database, "transactions"]):
            return _base(request, RequestKind.BEGIN, now, database=database)
        case ("POST", ["v1", "transactions", transaction, "statements"]):
            return _decode_execute(request, transaction, now)
        case ("POST", ["v1", "transactions", transaction, "commit"]):
            return _base(request, RequestKind.COMMIT, now, transaction=transaction)
        case ("POST", ["v1", "transactions", transaction, "rollback"]):
            return _base(request, RequestKind.ROLLBACK, now, transaction=transaction)
    return Error(
        Refusal(
            "unknown_route",
            Ran.NOT_RUN,
            "parse",
            "",
            f"no route for {request.method} {request.target[:100]}",
        )
    )


def encode_admitted_reply(reply: AdmittedReply, offset: int = 0) -> HttpResponse:
    """Encode an answer or a refusal; `offset` is the row at which its page starts."""
    headers: tuple[tuple[str, str], ...] = (JSON_HEADER,)
    if reply.session_token:
        headers += (("Session-Token", reply.session_token),)
    if reply.reply.is_ok():
        return HttpResponse(
            200, headers, encode_json(_answer_body(reply.reply.ok, offset))
        )
    return encode_refusal(reply.reply.error, headers)


def encode_refusal(
    refusal: Refusal, headers: tuple[tuple[str, str], ...] = (JSON_HEADER,)
) -> HttpResponse:
    """Encode a refusal."""
    status = STATUS_BY_CODE.get(refusal.code, DEFAULT_REFUSAL_STATUS)
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers += (("Retry-After", str(seconds)),)
    return HttpResponse(status, headers, encode_json(refusal._asdict()))


def _answer_body(answer: Answer, offset: int) -> dict[str, object]:
    body: dict[str, object] = {
        "results": [result._asdict() for result in answer.results],
        "served_by": answer.served_by,
        "role": answer.role,
    }
    if answer.replayed:
        body["replayed"] = True
    if answer.more and answer.results:
        body["more"] = True
        body["next_offset"] = offset + len(answer.results[0].rows)
    if answer.transaction_id:
        body["transaction_id"] = answer.transaction_id
    if not answer.found:
        body["found"] = False
    return body


def _malformed(detail: str) -> Refusal:
    return Refusal("malformed_request", Ran.NOT_RUN, "parse", "", detail)


def _base(
    request: HttpRequest,
    kind: RequestKind,
    now: float,
    database: str = "",
    transaction: str = "",
) -> Result[CallerRequest, Refusal]:
    headers = request.headers
    scheme, _, key = headers.get("authorization", "").partition(" ")
    deadline = headers.get("deadline-ms", str(DEFAULT_DEADLINE_MS))
    staleness = headers.get("max-staleness-ms", "")
    request_id = headers.get("idempotency-key", "")
    if not deadline.isdecimal() or not 1 <= int(deadline) <= MAX_DEADLINE_MS:
        return Error(_malformed(f"Deadline-Ms must be 1 to {MAX_DEADLINE_MS}"))
    if staleness and (not staleness.isdecimal() or len(staleness) > 9):
        return Error(_malformed("Max-Staleness-Ms must be whole milliseconds"))
    if len(request_id) > MAX_NAME_LENGTH:
        limit = f"at most {MAX_NAME_LENGTH} characters"
        return Error(_malformed(f"Idempotency-Key must have {limit}"))
    return Ok(
        CallerRequest(
            kind=kind,
            key=key.strip() if scheme.lower() == "bearer" else "",
            database=database,
            statements=(),
            idempotency_key=request_id,
            session_token=headers.get("session-token", ""),
            max_staleness=int(staleness) / 1000 if staleness else None,
            deadline=now + int(deadline) / 1000,
            transaction_id=transaction,
        )
    )


def _decode_read(
    request: HttpRequest, database: str, now: float
) -> Result[CallerRequest, Refusal]:
    base = _base(request, RequestKind.READ, now, database=database)
    body = decode_json(request.body, ReadBody).map_error(_malformed)
    if base.is_error():
        return base
    if body.is_error():
        return Error(body.error)
    page_rows, offset = (
        body.ok.get("page_rows", MAX_PAGE_ROWS),
        body.ok.get("offset", 0),
    )
    if not 1 <= page_rows <= MAX_PAGE_ROWS or offset < 0:
        limit = f"page_rows must be 1 to {MAX_PAGE_ROWS} and offset at least 0"
        return Error(_malformed(limit))
    return Ok(
        base.ok._replace(
            statements=(_statement(body.ok),), page_rows=page_rows, offset=offset
        )
    )


def _decode_write(
    request: HttpRequest, database: str, now: float
) -> Result[CallerRequest, Refusal]:
    base = _base(request, RequestKind.WRITE, now, database=database)
    body = decode_json(request.body, WriteBody).map_error(_malformed)
    if base.is_error():
        return base
    if body.is_error():
        return Error(body.error)
    statements = tuple(_statement(item) for item in body.ok["statements"])
    if not 1 <= len(statements) <= MAX_STATEMENTS:
        return Error(_malformed(f"statements must hold 1 to {MAX_STATEMENTS} items"))
    return Ok(base.ok._replace(statements=statements))


def _decode_execute(
    request: HttpRequest, transaction: str, now: float
) -> Result[CallerRequest, Refusal]:
    base = _base(request, RequestKind.EXECUTE, now, transaction=transaction)
    body = decode_json(request.body, StatementBody).map_error(_malformed)
    if base.is_error():
        return base
    if body.is_error():
        return Error(body.error)
    return Ok(base.ok._replace(statements=(_statement(body.ok),)))


def _statement(body: StatementBody | ReadBody) -> Statement:
    return Statement(body["sql"], tuple(body.get("parameters", ())))
