"""Stops the primary of a database until it is thawed."""

from typing import NamedTuple


class FreezePrimary(NamedTuple):
    """Stops the primary of a database until it is thawed."""

    database: str
