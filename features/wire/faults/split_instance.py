"""An instance is cut off from the primary and the other instances."""

from typing import NamedTuple


class SplitInstance(NamedTuple):
    """An instance is cut off from the primary and the other instances."""
