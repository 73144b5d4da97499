"""Caller of the proxy's HTTP interface."""

from typing import Any

from trio import current_time

from bench.client.http_connection import HttpConnection
from bench.client.typed_reply import TypedReply
from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.untyped_json import encode_json

CLAIM = "INSERT INTO claims (request, packet, claimer) VALUES (?, 'p1', 'caller')"


class ProxyCaller:
    """Calls one entry instance over one connection.

    Parameters
    ----------
    entry : str
        Name of the instance.
    address : str
        ``IP:port`` of its caller interface.
    key : str
        Key of the caller.
    """

    def __init__(self, entry: str, address: str, key: str) -> None:
        self.entry = entry
        self.key = key
        self.connection = HttpConnection(address)

    async def call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        request_id: str = "",
        deadline_ms: int = 5000,
    ) -> TypedReply:
        """Make one call."""
        headers = [("Deadline-Ms", str(deadline_ms))]
        if self.key:
            headers.append(("Authorization", f"Bearer {self.key}"))
        if request_id:
            headers.append(("Idempotency-Key", request_id))
        data = b"" if body is None else encode_json(body)
        sent_at = current_time()
        timeout = deadline_ms / 1000 + 2
        reply = await self.connection.call(
            method, target, data, tuple(headers), timeout
        )
        decoded = decode_json(reply.body or b"{}", dict[str, Any])
        answer = decoded.ok if decoded.is_ok() else {}
        return TypedReply(
            request_id,
            self.entry,
            reply.status,
            str(answer.get("code", "")),
            str(answer.get("ran", "")),
            answer,
            reply.headers.get("session-token", ""),
            sent_at,
            current_time(),
            reply.error,
        )

    async def claim(
        self, database: str, request_id: str, deadline_ms: int = 5000
    ) -> TypedReply:
        """Write one row that carries the request id."""
        body = {"statements": [{"sql": CLAIM, "parameters": [request_id]}]}
        target = f"/v1/databases/{database}/write"
        return await self.call("POST", target, body, request_id, deadline_ms)

    async def read(
        self, database: str, sql: str, deadline_ms: int = 5000
    ) -> TypedReply:
        """Read at the primary."""
        target = f"/v1/databases/{database}/read"
        return await self.call("POST", target, {"sql": sql}, deadline_ms=deadline_ms)

    async def outcome(self, database: str, request_id: str) -> TypedReply:
        """Ask what became of a write."""
        target = f"/v1/databases/{database}/requests/{request_id}"
        return await self.call("GET", target)

    async def begin(self, database: str) -> str:
        """Begin a transaction and return its id."""
        reply = await self.call("POST", f"/v1/databases/{database}/transactions")
        if reply.status != 200:
            raise OSError(f"begin at {self.entry}: {reply}")
        return str(reply.body["transaction_id"])

    async def execute(self, transaction: str, row: str) -> TypedReply:
        """Insert a row in a transaction."""
        target = f"/v1/transactions/{transaction}/statements"
        return await self.call("POST", target, {"sql": CLAIM, "parameters": [row]})

    async def commit(self, transaction: str, request_id: str) -> TypedReply:
        """Commit a transaction."""
        target = f"/v1/transactions/{transaction}/commit"
        return await self.call("POST", target, request_id=request_id)
