"""Asks a process to stop in an orderly way."""

from typing import NamedTuple


class TerminateProcess(NamedTuple):
    """Asks a process to stop in an orderly way."""

    name: str
