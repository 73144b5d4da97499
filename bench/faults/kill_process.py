"""Kills a process by name."""

from typing import NamedTuple


class KillProcess(NamedTuple):
    """Kills a process by name."""

    name: str
