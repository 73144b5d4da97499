"""Row of the platform's table."""

from typing import Any, NamedTuple


class PlatformRow(NamedTuple):
    """Version and value of a row; version 0 means that the row is absent."""

    version: int
    value: dict[str, Any]
