"""Encodes calls of the caller API."""

from bench.client.http_connection import Headers
from bench.operations.prepared_call import PreparedCall
from jackdawspread.codecs.untyped_json import encode_json

DEADLINE_MS = 5_000
# An answer at the deadline still has to arrive.
CALL_TIMEOUT_S = DEADLINE_MS / 1000 + 1.0


def encode_call(
    database: str, request_id: str, call: PreparedCall, key: str, token: str
) -> tuple[str, bytes, Headers]:
    """Return target, body and headers of a call."""
    headers: Headers = (("Deadline-Ms", str(DEADLINE_MS)),)
    if key:
        headers += (("Authorization", f"Bearer {key}"),)
    if token:
        headers += (("Session-Token", token),)
    statements = [statement._asdict() for statement in call.statements]
    if call.writes:
        headers += (("Idempotency-Key", request_id),)
        body = encode_json({"statements": statements})
        return f"/v1/databases/{database}/write", body, headers
    if call.max_staleness_ms is not None:
        headers += (("Max-Staleness-Ms", str(call.max_staleness_ms)),)
    return f"/v1/databases/{database}/read", encode_json(statements[0]), headers
