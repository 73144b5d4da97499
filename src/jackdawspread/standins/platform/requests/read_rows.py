"""Reads rows by key, or every row whose key has a prefix."""

from typing import NamedTuple


class ReadRows(NamedTuple):
    """Reads rows by key, or every row whose key has a prefix."""

    keys: tuple[str, ...] = ()
    prefix: str | None = None
