"""Stand-in for the platform's store and its promotion call."""

import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from itertools import accumulate
from urllib.parse import parse_qs, urlsplit

from trio import Event, current_time, move_on_after, sleep_forever

from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse

Row = dict[str, object]
PAGE_BYTES = 1_000_000


class TableStore:
    """Serves rows with versions, conditional writes and a feed of changes.

    Parameters
    ----------
    promote : callable
        Makes a member the primary; called with the service and the member's id, it
        returns an HTTP status.
    """

    def __init__(self, promote: Callable[[str, str], int]) -> None:
        self._promote = promote
        self._version = 1
        self._changed = Event()
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        # Each write and removal, in order.
        self._changes: list[Row] = []
        self.tokens: list[int] = []
        self.is_down = False
        # Whether requests wait, and are handled once this is False again.
        self.is_silent = False
        self.refused_calls = 0
        # A page of a read ends with the row that reaches this size in bytes.
        self.page_bytes = PAGE_BYTES
        # Targets of the requests that were handled.
        self.calls: list[str] = []
        # Number of writes to execute without an answer.
        self.lose_answers = 0
        # Grows each time that the store is restored.
        self.epoch = 1
        self._copy: tuple[int, dict[tuple[str, str], tuple[bytes, int]]] = (1, {})

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as an operator or a member does."""
        self._version += 1
        self._write(table, key, value)
        self._notify()

    def delete(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._remove(table, key)
        self._notify()

    def set_down(self, is_down: bool) -> None:
        """Refuse all requests, also those that wait for a change, or handle them."""
        self.is_down = is_down
        self._notify()

    async def wait_until_up(self) -> None:
        """Wait until requests are not refused."""
        while self.is_down:
            await self._changed.wait()

    def set_silent(self, is_silent: bool) -> None:
        """Let requests wait, or handle those that are waiting."""
        self.is_silent = is_silent
        self._notify()

    def copy(self) -> None:
        """Keep a copy of all rows and of the counter of versions."""
        self._copy = self._version, dict(self.rows)

    def restore(self) -> None:
        """Return to the copy; requests that are waiting go on without an error."""
        self._version, rows = self._copy
        self.rows = dict(rows)
        self._changes = [row for row in self._changes if row["Ver"] <= self._version]
        self.epoch += 1

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request; each answer names the epoch."""
        response = await self._handle(request)
        era = (("Store-Era", str(self.epoch)),)
        return response._replace(headers=response.headers + era)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await self._wait_while_silent()
        if self.is_down:
            self.refused_calls += 1
            return _respond(503, {})
        self.calls.append(request.target)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/rows-get":
            return self._get(query)
        if parts.path == "/rows-feed":
            return await self._feed(query)
        if parts.path == "/rows-tx":
            response = self._transact(json.loads(request.body))
            if self.lose_answers:
                self.lose_answers -= 1
                await sleep_forever()
            return response
        if parts.path == "/promote":
            return self._handle_promotion(request)
        return _respond(404, {})

    def _get(self, query: dict[str, str]) -> HttpResponse:
        start, end = query.get("From", ""), query.get("To", "\U0010ffff")
        rows = [
            self._row(table, key)
            for table, key in sorted(self.rows)
            if table == query["Table"] and start <= key < end
        ]
        sizes = accumulate(len(json.dumps(row)) for row in rows)
        count = 1 + sum(size < self.page_bytes for size in sizes)
        page, has_more = rows[:count], count < len(rows)
        return _respond(
            200, {"rows": page, "HasMore": has_more, **self._version_and_time()}
        )

    async def _feed(self, query: dict[str, str]) -> HttpResponse:
        after, table = int(query["after"]), query["Table"]
        if after > self._version:
            return _respond(410, {})
        with move_on_after(int(query["WaitMs"]) / 1000):
            while not self._newer(table, after) and not self.is_down:
                await self._changed.wait()
        await self._wait_while_silent()
        if self.is_down:
            self.refused_calls += 1
            return _respond(503, {})
        changed = self._newer(table, after)
        return _respond(200, {"rows": changed, **self._version_and_time()})

    def _newer(self, table: str, after: int) -> list[Row]:
        return [
            row for row in self._changes if row["Table"] == table and row["Ver"] > after
        ]

    def _transact(self, body: dict[str, list[Row]]) -> HttpResponse:
        conditions = {
            (str(row["Table"]), str(row["Key"])): row["Ver"]
            for row in body["ExpectedRev"]
        }
        version_by_name = {
            name: self.rows.get(name, (b"", 0))[1] for name in conditions
        }
        if version_by_name != conditions:
            known = [self._row(*name) for name in conditions if name in self.rows]
            return _respond(412, {"rows": known, **self._version_and_time()})
        # All rows of a transaction get one version.
        self._version += 1
        for row in body["Remove"]:
            self._remove(str(row["Table"]), str(row["Key"]))
        for row in body["Puts"]:
            value = b64decode(str(row["Value"]))
            self._write(str(row["Table"]), str(row["Key"]), value)
        self._notify()
        return _respond(200, self._version_and_time())

    def _write(self, table: str, key: str, value: bytes) -> None:
        self.rows[table, key] = (value, self._version)
        self._changes.append(self._row(table, key))

    def _remove(self, table: str, key: str) -> None:
        if self.rows.pop((table, key), None) is not None:
            name = {"Table": table, "part": "", "Key": key}
            self._changes.append({**name, "Ver": self._version, "Tombstone": True})

    async def _wait_while_silent(self) -> None:
        while self.is_silent:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = Event()

    def _handle_promotion(self, request: HttpRequest) -> HttpResponse:
        token = int(request.headers["jackdawspread-fencing-token"])
        if self.tokens and token < max(self.tokens):
            return _respond(409, {})
        self.tokens.append(token)
        body = json.loads(request.body)
        return _respond(self._promote(body["Service"], body["Id"]), {})

    def _row(self, table: str, key: str) -> Row:
        value, version = self.rows[table, key]
        encoded = b64encode(value).decode()
        return {
            "Table": table,
            "part": "",
            "Key": key,
            "Value": encoded,
            "Ver": version,
        }

    def _version_and_time(self) -> Row:
        return {"Ver": self._version, "NowMs": round(1000 * current_time())}


def _respond(status: int, body: Row) -> HttpResponse:
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, headers, json.dumps(body).encode())
