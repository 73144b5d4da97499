"""Report that this instance is registered in the store."""

from typing import NamedTuple


class InstanceRegistered(NamedTuple):
    """Reports an acknowledged registration.

    Parameters
    ----------
    at : float
        Time in seconds of the boot-time clock at which the write was sent.
    acknowledged_at : float
        Time in seconds of the boot-time clock at which the store's answer was known.
    epoch : int
        Epoch of the store that has the registration.
    """

    at: float
    acknowledged_at: float
    epoch: int = 0
