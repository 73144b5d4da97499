"""Execution of a prepared statement."""

from typing import NamedTuple


class ExecutePrepared(NamedTuple):
    """Runs a prepared statement; ``arguments`` is forwarded unchanged."""

    name: str
    arguments: str
