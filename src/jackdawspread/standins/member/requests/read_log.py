"""Asks for committed entries and executed statements."""

from typing import NamedTuple


class ReadLog(NamedTuple):
    """Asks for committed entries and executed statements."""

    committed_offset: int = 0
    executed_offset: int = 0
    limit: int = 10_000
