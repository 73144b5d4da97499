"""Stops a process until it is thawed."""

from typing import NamedTuple


class FreezeProcess(NamedTuple):
    """Stops a process until it is thawed."""

    name: str
