"""Decision to wait for the end of a suspension."""

from typing import NamedTuple


class WaitForState(NamedTuple):
    """Holds the answer until the promotion state of the group changes."""
