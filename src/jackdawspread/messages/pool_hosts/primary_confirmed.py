"""Report that the last answer on a lease came from the primary."""

from typing import NamedTuple


class PrimaryConfirmed(NamedTuple):
    """Makes the last answer on a lease a position sample at the pool host."""

    lease: int
    confirms_write: bool
