"""Reads an object."""

from typing import NamedTuple


class GetObject(NamedTuple):
    """Reads an object."""

    name: str
