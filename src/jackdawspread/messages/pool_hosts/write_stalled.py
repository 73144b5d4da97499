"""Report that a write on a lease was not confirmed in time."""

from typing import NamedTuple


class WriteStalled(NamedTuple):
    """Reports to the pool host that the primary did not confirm a write in time."""

    lease: int
