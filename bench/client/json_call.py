"""Single JSON calls."""

from typing import Any

from bench.client.http_connection import Headers, HttpConnection
from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.untyped_json import encode_json


async def call_json(
    connection: HttpConnection,
    method: str,
    target: str,
    body: dict[str, Any] | None = None,
    headers: Headers = (),
    timeout: float = 10.0,
) -> tuple[int, dict[str, Any]]:
    """Call over a connection and return the status and the decoded body.

    Returns
    -------
    tuple of int and dict
        Status 0 with ``{"error": reason}`` if no response arrived.
    """
    data = b"" if body is None else encode_json(body)
    reply = await connection.call(method, target, data, headers, timeout)
    if not reply.status:
        return 0, {"error": reply.error}
    decoded = decode_json(reply.body or b"{}", dict[str, Any])
    return reply.status, decoded.ok if decoded.is_ok() else {}


async def call_once(
    address: str,
    method: str,
    target: str,
    body: dict[str, Any] | None = None,
    headers: Headers = (),
    timeout: float = 10.0,
) -> tuple[int, dict[str, Any]]:
    """Make one call over a connection of its own."""
    connection = HttpConnection(address)
    try:
        return await call_json(connection, method, target, body, headers, timeout)
    finally:
        await connection.aclose()
