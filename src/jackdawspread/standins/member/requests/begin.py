"""Begins an interactive transaction."""

from typing import NamedTuple


class Begin(NamedTuple):
    """Begins an interactive transaction."""

    term: int
    workspace: str
