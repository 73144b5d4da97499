"""Stores an object."""

from typing import NamedTuple


class PutObject(NamedTuple):
    """Stores an object."""

    name: str
    content: bytes
