"""Reads databases and logs after a run, past the proxy."""

from typing import Any

from bench.check.database_contents import DatabaseContents
from bench.client.http_connection import HttpConnection
from bench.client.json_call import call_json, call_once
from bench.launch.fleet import Fleet
from bench.operations import sql

PAGE_ROWS = 1_000
LOG_TIMEOUT_S = 20.0


async def read_database(fleet: Fleet, database: str) -> DatabaseContents:
    """Read binding records and mismatches from the primary of a database."""
    name = await fleet.primary(database)
    address = fleet.layout.members_by_database[database][name]
    connection = HttpConnection(address)
    deployment = fleet.plan.name
    try:
        await call_json(connection, "POST", "/connect", {"instance": "bench-check"})
        records = await _rows(connection, sql.RECORDS_BY_DEPLOYMENT[deployment])
        mismatches = await _rows(connection, sql.MISMATCHES_BY_DEPLOYMENT[deployment])
    except OSError as error:
        return DatabaseContents((), (), f"{name}: {error}")
    finally:
        await connection.aclose()
    ids = tuple(str(row[0]) for row in records)
    return DatabaseContents(ids, tuple(tuple(row) for row in mismatches))


async def _rows(connection: HttpConnection, text: str) -> list[list[Any]]:
    rows: list[list[Any]] = []
    while True:
        body = {
            "statement": {"sql": text, "parameters": []},
            "term": 0,
            "position": None,
            "wait_ms": 0,
            "offset": len(rows),
            "page_rows": PAGE_ROWS,
        }
        status, answer = await call_json(connection, "POST", "/read", body)
        if status != 200:
            raise OSError(f"read: status {status}, {answer}")
        rows += answer["rows"]
        if not answer.get("more"):
            return rows


async def read_log_texts(fleet: Fleet) -> tuple[set[str], list[str]]:
    """Return every string in the members' logs, and the members without one.

    Request ids and markers are unique, so that their presence anywhere in a log
    tells that the request ran, whatever the shape of the log.
    """
    texts: set[str] = set()
    unread = []
    for members in fleet.layout.members_by_database.values():
        for name, address in members.items():
            status, body = await call_once(
                address, "POST", "/log", {}, timeout=LOG_TIMEOUT_S
            )
            if status != 200:
                unread.append(name)
            _collect(body, texts)
    return texts, unread


def _collect(value: object, texts: set[str]) -> None:
    if isinstance(value, str):
        texts.add(value)
    elif isinstance(value, dict):
        for item in value.values():
            _collect(item, texts)
    elif isinstance(value, list):
        for item in value:
            _collect(item, texts)
