"""Replies of the caller API over HTTP and JSON."""

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.refusal import Refusal

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


def encode_caller_reply(reply: CallerReply, offset: int = 0) -> HttpResponse:
    """Encode an answer or a refusal; the answer's page starts at the row `offset`."""
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
