"""Change of the placement of pool hosts."""

from typing import NamedTuple


class PlacementChanged(NamedTuple):
    """Reports how pool hosts are placed from now on.

    Parameters
    ----------
    is_domain_aware : bool
        Whether each failure domain has pool hosts of its own.
    crossing_delay_s : float
        Delay to the nearest other failure domain in seconds, one way, at the time of
        the change.
    """

    is_domain_aware: bool
    crossing_delay_s: float
