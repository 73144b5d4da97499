"""Asks for role, terms, positions and load."""

from typing import NamedTuple


class Status(NamedTuple):
    """Asks for role, terms, positions and load."""
