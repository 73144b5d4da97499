"""Entry of a replicated log."""

from typing import NamedTuple


class LogEntry(NamedTuple):
    """A commit with the ids of the statements that wrote it."""

    term: int
    number: int
    ids: tuple[str, ...]
    writes: dict[str, str]
