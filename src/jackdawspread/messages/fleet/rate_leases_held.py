"""Rate leases of this instance, and the holders of the others."""

from typing import NamedTuple


class RateLeasesHeld(NamedTuple):
    """Reports who admits operations from which part of the rates.

    Parameters
    ----------
    leases : int
        Number of leases that this instance holds.
    held_until : float
        Boot-time clock in seconds after which they may not be used.
    holders : tuple of str
        ``IP:port`` of the other holders.
    """

    leases: int
    held_until: float
    holders: tuple[str, ...]
