"""Requests pages of the committed entries and of the executed statements."""

from typing import NamedTuple


class ReadLog(NamedTuple):
    """Requests pages of the committed entries and of the executed statements."""

    committed_offset: int = 0
    executed_offset: int = 0
    limit: int = 10_000
