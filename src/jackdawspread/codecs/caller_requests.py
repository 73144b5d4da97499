"""Requests of the caller API over HTTP and JSON."""

from collections.abc import Callable
from typing import TypeVar

from expression import Error, Ok, Result

from jackdawspread.codecs.json_body import decode_request_body
from jackdawspread.codecs.read_body import ReadBody
from jackdawspread.codecs.statement_body import StatementBody
from jackdawspread.codecs.write_body import WriteBody
from jackdawspread.messages.caller_request import CallerRequest
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.statement import Statement

DEFAULT_DEADLINE_MS = 5_000
MAX_DEADLINE_MS = 60_000
MAX_PAGE_ROWS = 1_000
MAX_STATEMENTS = 100
MAX_NAME_LENGTH = 128
MAX_DIGITS = 9

Decoded = Result[CallerRequest, Refusal]
B = TypeVar("B")


def decode_caller_request(request: HttpRequest, now: float) -> Decoded:
    """Decode an HTTP request to the caller API.

    Parameters
    ----------
    request : HttpRequest
        The request.
    now : float
        Monotonic time in seconds to which the relative deadline is added.
    """
    path = request.target.partition("?")[0].strip("/").split("/")
    match (request.method, path):
        case ("POST", ["v1", "databases", database, "read"]):
            base = _decode_headers(request, RequestKind.READ, now, database=database)
            return _with_body(base, request, ReadBody, _add_read)
        case ("POST", ["v1", "databases", database, "write"]):
            base = _decode_headers(request, RequestKind.WRITE, now, database=database)
            return _with_body(base, request, WriteBody, _add_write)
        case ("GET", ["v1", "databases", database, "requests", request_id]):
            return _decode_headers(
                request, RequestKind.OUTCOME, now, database=database
            ).map(lambda base: base._replace(idempotency_key=request_id))
        case ("POST", ["v1", "databases", database, "transactions"]):
            return _decode_headers(request, RequestKind.BEGIN, now, database=database)
        case ("POST", ["v1", "transactions", transaction, "statements"]):
            base = _decode_headers(
                request, RequestKind.EXECUTE, now, transaction=transaction
            )
            return _with_body(base, request, StatementBody, _add_statement)
        case ("POST", ["v1", "transactions", transaction, "commit"]):
            return _decode_headers(
                request, RequestKind.COMMIT, now, transaction=transaction
            )
        case ("POST", ["v1", "transactions", transaction, "rollback"]):
            return _decode_headers(
                request, RequestKind.ROLLBACK, now, transaction=transaction
            )
    return Error(
        Refusal(
            "unknown_route",
            ExecutionStatus.NOT_RUN,
            "parse",
            "",
            f"no route for {request.method} {request.target[:100]}",
        )
    )


def _malformed(detail: str) -> Refusal:
    return Refusal("malformed_request", ExecutionStatus.NOT_RUN, "parse", "", detail)


def _is_number(text: str) -> bool:
    # int() raises an error for texts of several thousand digits.
    return text.isdecimal() and len(text) <= MAX_DIGITS


def _decode_headers(
    request: HttpRequest,
    kind: RequestKind,
    now: float,
    database: str = "",
    transaction: str = "",
) -> Decoded:
    headers = request.headers
    scheme, _, key = headers.get("authorization", "").partition(" ")
    deadline = headers.get("deadline-ms", str(DEFAULT_DEADLINE_MS))
    staleness = headers.get("max-staleness-ms", "")
    request_id = headers.get("idempotency-key", "")
    if not _is_number(deadline) or not 1 <= int(deadline) <= MAX_DEADLINE_MS:
        return Error(_malformed(f"Deadline-Ms must be 1 to {MAX_DEADLINE_MS}"))
    if staleness and not _is_number(staleness):
        return Error(_malformed("Max-Staleness-Ms must be whole milliseconds"))
    token = headers.get("session-token", "")
    if not token.isascii():
        return Error(_malformed("Session-Token must be ASCII"))
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
            session_token=token,
            max_staleness=int(staleness) / 1000 if staleness else None,
            deadline=now + int(deadline) / 1000,
            transaction_id=transaction,
        )
    )


def _with_body(
    base: Decoded,
    request: HttpRequest,
    body_type: type[B],
    add: Callable[[CallerRequest, B], Decoded],
) -> Decoded:
    body = decode_request_body(request.body, body_type).map_error(_malformed)
    return base.bind(lambda caller: body.bind(lambda decoded: add(caller, decoded)))


def _add_read(caller: CallerRequest, body: ReadBody) -> Decoded:
    page_rows, offset = body.get("page_rows", MAX_PAGE_ROWS), body.get("offset", 0)
    if not 1 <= page_rows <= MAX_PAGE_ROWS or offset < 0:
        limit = f"page_rows must be 1 to {MAX_PAGE_ROWS} and offset at least 0"
        return Error(_malformed(limit))
    statements = (_statement(body),)
    return Ok(
        caller._replace(statements=statements, page_rows=page_rows, offset=offset)
    )


def _add_write(caller: CallerRequest, body: WriteBody) -> Decoded:
    statements = tuple(_statement(item) for item in body["statements"])
    if not 1 <= len(statements) <= MAX_STATEMENTS:
        return Error(_malformed(f"statements must hold 1 to {MAX_STATEMENTS} items"))
    return Ok(caller._replace(statements=statements))


def _add_statement(caller: CallerRequest, body: StatementBody) -> Decoded:
    return Ok(caller._replace(statements=(_statement(body),)))


def _statement(body: StatementBody) -> Statement:
    return Statement(body["sql"], tuple(body.get("parameters", ())))
