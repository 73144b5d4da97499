"""Requests the role, the terms, the positions and the load of the member."""

from typing import NamedTuple


class Status(NamedTuple):
    """Requests the role, the terms, the positions and the load of the member."""
