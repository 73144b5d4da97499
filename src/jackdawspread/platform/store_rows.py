"""Decoding of rows of the platform's store."""

from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

# Versions are numbers of at most 64 bits with a sign.
MAX_VERSION = 2**63 - 1


class StoreRow(NamedTuple):
    """Row of a table.

    Parameters
    ----------
    key : str
        Key within the table.
    value : bytes
        Content of the row.
    version : int
        Version of the row, from a counter that all rows of the store share.
    deleted : bool
        Whether the row was deleted.
    """

    key: str
    value: bytes
    version: int
    deleted: bool


def decode_rows(body: dict[str, Any]) -> Iterator[StoreRow]:
    """Yield the rows of an answer; invalid rows are skipped."""
    rows = body.get("rows")
    for row in rows if isinstance(rows, list) else ():
        if not isinstance(row, dict) or not isinstance(row.get("Key"), str):
            continue
        try:
            value = b64decode(row.get("Value") or "", validate=True)
        except (Base64Error, TypeError, ValueError):
            continue
        version = row.get("Ver", 0)
        if type(version) is int and 0 <= version <= MAX_VERSION:
            yield StoreRow(row["Key"], value, version, bool(row.get("Tombstone")))


def versions_by_key(rows: Iterable[StoreRow]) -> dict[str, list[StoreRow]]:
    """Return the versions of each row by its key, the newest one first.

    An answer with changes has a row once for each change.
    """
    versions: dict[str, list[StoreRow]] = {}
    for row in sorted(rows, key=lambda row: row.version, reverse=True):
        versions.setdefault(row.key, []).append(row)
    return versions


def present_rows(body: dict[str, Any]) -> list[StoreRow]:
    """Return the rows that exist according to an answer, the newest version of each."""
    newest = (versions[0] for versions in versions_by_key(decode_rows(body)).values())
    # The version of a row that does not exist is 0.
    return sorted(row for row in newest if row.version and not row.deleted)


def last_key(body: dict[str, Any]) -> str | None:
    """Return the last key of an answer, also of an invalid row; None without one."""
    listed = body.get("rows")
    rows: list[Any] = listed if isinstance(listed, list) else []
    for row in reversed(rows):
        if isinstance(row, dict) and isinstance(row.get("Key"), str):
            return str(row["Key"])
    return None


def store_time_s(body: dict[str, Any]) -> float:
    """Return the store's monotonic clock in seconds, or 0 if the answer lacks it."""
    now_ms = body.get("NowMs")
    return now_ms / 1000 if isinstance(now_ms, int | float) else 0.0


def newest_version(body: dict[str, Any]) -> int:
    """Return the newest version of the store, or 0 if the answer lacks it."""
    version = body.get("Ver")
    return version if type(version) is int and 0 <= version <= MAX_VERSION else 0
