"""Report of whether a newer configuration exists than the one in use."""

from typing import NamedTuple


class NewerConfigurationKnown(NamedTuple):
    """Reports the newest version that another instance has shown to exist.

    Parameters
    ----------
    version : int
        The newest version.
    known_since : float
        Boot-time clock in seconds at which this instance learned of it; infinite if it
        is the one in use.
    """

    version: int
    known_since: float
