"""Change between the two placements of pool hosts."""

from typing import NamedTuple


class PlacementChanged(NamedTuple):
    """Reports the delays between failure domains.

    Parameters
    ----------
    is_domain_aware : bool
        Whether each failure domain has pool hosts of its own.
    crossing_delay_s : float
        Delay to the nearest other failure domain in seconds, one way.
    """

    is_domain_aware: bool
    crossing_delay_s: float
