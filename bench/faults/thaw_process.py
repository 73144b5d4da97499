"""Lets a frozen process continue."""

from typing import NamedTuple


class ThawProcess(NamedTuple):
    """Lets a frozen process continue."""

    name: str
