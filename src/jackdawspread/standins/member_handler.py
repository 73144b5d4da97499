"""Answers the requests of a database member's protocol."""

from sqlite3 import Connection, connect
from sqlite3 import Error as SqlError
from typing import Any

from jackdawspread.codecs.json_body import decode_json, encode_json
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse

JSON_HEADERS = (("Content-Type", "application/json"),)


class MemberHandler:
    """Runs statements in an SQL database in memory.

    Parameters
    ----------
    schema : str
        SQL that creates the tables.
    """

    def __init__(self, schema: str) -> None:
        self._database: Connection = connect(":memory:", isolation_level=None)
        self._database.executescript(schema)
        self._sequence = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        decoded = decode_json(request.body or b"{}", dict[str, Any])
        if decoded.is_error():
            return _respond(400, {"code": "malformed_request", "detail": decoded.error})
        body = decoded.ok
        try:
            if request.target == "/read":
                return _respond(200, self._run(body["statement"]))
            if request.target == "/write":
                return _respond(200, self._write(body["statements"]))
        except SqlError as error:
            return _respond(422, {"code": "statement_failed", "detail": str(error)})
        return _respond(404, {"code": "unknown_route", "detail": request.target})

    def _write(self, statements: list[dict[str, Any]]) -> dict[str, Any]:
        self._database.execute("BEGIN")
        try:
            results = [self._run(statement) for statement in statements]
        except SqlError:
            self._database.execute("ROLLBACK")
            raise
        self._database.execute("COMMIT")
        self._sequence += 1
        return {"results": results, "position": [1, self._sequence]}

    def _run(self, statement: dict[str, Any]) -> dict[str, Any]:
        cursor = self._database.execute(
            statement["sql"], statement.get("parameters", ())
        )
        columns = [item[0] for item in cursor.description or ()]
        return {
            "columns": columns,
            "rows": cursor.fetchall(),
            "changes": max(cursor.rowcount, 0),
            "position": [1, self._sequence],
            "role": "primary",
        }


def _respond(status: int, body: dict[str, Any]) -> HttpResponse:
    return HttpResponse(status, JSON_HEADERS, encode_json(body))
