"""Kills the primary of a database."""

from typing import NamedTuple


class KillPrimary(NamedTuple):
    """Kills the primary of a database."""

    database: str
