"""The store refuses all calls."""

from typing import NamedTuple


class StopStore(NamedTuple):
    """The store refuses all calls."""
