"""A replica is cut off from the primary."""

from typing import NamedTuple


class CutReplication(NamedTuple):
    """A replica is cut off from the primary."""
