"""SQL tables of a member."""

import sqlite3
from typing import Any

from expression import Error, Ok, Result
from msgspec import json

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.position import Position
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.recorded_request import RecordedRequest
from jackdawspread.standins.member.result_document import ResultDocument
from jackdawspread.standins.member.sql_mode import SqlMode
from jackdawspread.standins.member.statement_document import StatementDocument

MAX_PAGE_ROWS = 1000
MAX_PAGE_BYTES = 1024 * 1024
RECORD_TABLE = "_recorded_requests"
RECORD_SCHEMA = f"""
CREATE TABLE {RECORD_TABLE} (
    workspace TEXT, request_id TEXT, digest TEXT, results BLOB,
    term INTEGER, sequence INTEGER, PRIMARY KEY (workspace, request_id)
)
"""
ALLOWED_READ_ACTIONS = {
    sqlite3.SQLITE_SELECT,
    sqlite3.SQLITE_READ,
    sqlite3.SQLITE_FUNCTION,
    sqlite3.SQLITE_RECURSIVE,
}
DENIED_WRITE_ACTIONS = {
    sqlite3.SQLITE_ATTACH,
    sqlite3.SQLITE_DETACH,
    sqlite3.SQLITE_PRAGMA,
    sqlite3.SQLITE_TRANSACTION,
    sqlite3.SQLITE_SAVEPOINT,
}
# The log contains statements, so a write must give the same result at every replay.
NONDETERMINISTIC_FUNCTIONS = {
    "random",
    "randomblob",
    "date",
    "time",
    "datetime",
    "julianday",
    "unixepoch",
    "strftime",
    "current_date",
    "current_time",
    "current_timestamp",
    "last_insert_rowid",
    "changes",
    "total_changes",
}


class SqlEngine:
    """In-memory SQLite tables and the results of request ids.

    A result is recorded in the same transaction as the changes of its request.

    Parameters
    ----------
    schema : str
        SQL that creates the tables.
    """

    def __init__(self, schema: str) -> None:
        self._mode = SqlMode.INTERNAL
        # SQLite authorizes a statement when it is prepared; a cached statement would
        # keep the authorization of an earlier mode.
        self._database = sqlite3.connect(
            ":memory:", isolation_level=None, cached_statements=0
        )
        self._database.executescript(schema)
        self._database.execute(RECORD_SCHEMA)
        self._database.set_authorizer(self._authorize)

    def _authorize(
        self, action: int, first: str | None, second: str | None, *_: str | None
    ) -> int:
        if self._mode is SqlMode.INTERNAL:
            return sqlite3.SQLITE_OK
        if first == RECORD_TABLE:
            return sqlite3.SQLITE_DENY
        if self._mode is SqlMode.READ:
            allowed = action in ALLOWED_READ_ACTIONS
        elif action == sqlite3.SQLITE_FUNCTION:
            allowed = (second or "").lower() not in NONDETERMINISTIC_FUNCTIONS
        else:
            allowed = action not in DENIED_WRITE_ACTIONS
        return sqlite3.SQLITE_OK if allowed else sqlite3.SQLITE_DENY

    def read(
        self, statement: StatementDocument, offset: int, page_rows: int
    ) -> Result[dict[str, Any], MemberRefusal]:
        """Run a read-only statement and return one page of its rows."""
        max_rows = max(1, min(page_rows, MAX_PAGE_ROWS))
        try:
            self._mode = SqlMode.READ
            cursor = self._execute(statement)
            for _ in range(offset):
                if cursor.fetchone() is None:
                    break
            rows: list[list[Any]] = []
            size, more = 0, False
            for row in cursor:
                size += len(encode_json(row)) + 1
                if len(rows) == max_rows or (rows and size > MAX_PAGE_BYTES):
                    more = True
                    break
                if size > MAX_PAGE_BYTES:
                    detail = f"row {offset} exceeds {MAX_PAGE_BYTES} bytes"
                    return Error(MemberRefusal(422, "statement_failed", detail))
                rows.append(list(row))
            columns = [item[0] for item in cursor.description or ()]
            cursor.close()
        except (sqlite3.Error, sqlite3.Warning, OverflowError) as error:
            return Error(_make_refusal(error))
        finally:
            self._mode = SqlMode.INTERNAL
        next_offset = offset + len(rows)
        return Ok(
            {"columns": columns, "rows": rows, "more": more, "next_offset": next_offset}
        )

    def begin_write(
        self, statements: tuple[StatementDocument, ...]
    ) -> Result[tuple[ResultDocument, ...], MemberRefusal]:
        """Run statements in a transaction, which stays open if all succeed."""
        self._database.execute("BEGIN")
        try:
            self._mode = SqlMode.WRITE
            results = tuple(self._run(statement) for statement in statements)
        except (sqlite3.Error, sqlite3.Warning, OverflowError) as error:
            refusal = _make_refusal(error)
        else:
            if len(encode_json(results)) <= MAX_PAGE_BYTES:
                return Ok(results)
            detail = f"results exceed {MAX_PAGE_BYTES} bytes"
            refusal = MemberRefusal(422, "statement_failed", detail)
        finally:
            self._mode = SqlMode.INTERNAL
        self.rollback()
        return Error(refusal)

    def rollback(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._database.in_transaction:
            self._database.execute("ROLLBACK")

    def commit(self, entry: LogEntry) -> None:
        """Record the request id and commit the open transaction."""
        if entry.request_id:
            self._database.execute(
                f"INSERT INTO {RECORD_TABLE} VALUES (?, ?, ?, ?, ?, ?)",
                (
                    entry.workspace,
                    entry.request_id,
                    entry.digest,
                    encode_json(entry.results),
                    *entry.position,
                ),
            )
        self._database.execute("COMMIT")

    def apply(self, entry: LogEntry) -> None:
        """Run and commit the statements of a replicated entry.

        Raises
        ------
        RuntimeError
            If a statement fails that succeeded at the primary.
        """
        outcome = self.begin_write(entry.statements)
        if outcome.is_error():
            raise RuntimeError(f"replay of {entry.position} failed: {outcome.error}")
        self.commit(entry)

    def find_recorded(self, workspace: str, request_id: str) -> RecordedRequest | None:
        """Return the recorded result of a request id, if there is one."""
        row = self._database.execute(
            f"SELECT digest, results, term, sequence FROM {RECORD_TABLE}"
            " WHERE workspace = ? AND request_id = ?",
            (workspace, request_id),
        ).fetchone()
        if row is None:
            return None
        results = json.decode(row[1], type=tuple[ResultDocument, ...])
        return RecordedRequest(row[0], results, Position(row[2], row[3]))

    def close(self) -> None:
        """Close the database and free its tables."""
        self._database.close()

    def _run(self, statement: StatementDocument) -> ResultDocument:
        cursor = self._execute(statement)
        rows = [list(row) for row in cursor.fetchall()]
        columns = [item[0] for item in cursor.description or ()]
        return {"columns": columns, "rows": rows, "changes": max(cursor.rowcount, 0)}

    def _execute(self, statement: StatementDocument) -> sqlite3.Cursor:
        return self._database.execute(statement["sql"], statement.get("parameters", ()))


def _make_refusal(error: Exception) -> MemberRefusal:
    is_denied = isinstance(error, sqlite3.Warning) or "not authorized" in str(error)
    # "prohibited" is SQLite's wording for a denied read of a column.
    is_denied = is_denied or "prohibited" in str(error)
    code = "bad_statement" if is_denied else "statement_failed"
    return MemberRefusal(422, code, str(error))
