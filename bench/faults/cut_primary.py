"""Cuts the primary of a database off from instances and members."""

from typing import NamedTuple


class CutPrimary(NamedTuple):
    """Cuts the primary of a database off from instances and members."""

    database: str
