"""An instance is cut off from the store."""

from typing import NamedTuple


class CutStore(NamedTuple):
    """An instance is cut off from the store."""
