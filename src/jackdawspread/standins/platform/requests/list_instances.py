"""Reads the lagging list of instances."""

from typing import NamedTuple


class ListInstances(NamedTuple):
    """Reads the lagging list of instances."""
