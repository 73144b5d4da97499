"""Report of whether a newer configuration exists than the one in use."""

from typing import NamedTuple


class NewerConfigurationKnown(NamedTuple):
    """Reports the newest version that another instance has shown to exist.

    Parameters
    ----------
    version : int
        The newest version.
    known_since : float
        Boot-time clock in seconds at which this instance learned of the first version
        after the one in use; infinite if that is the newest one.
    """

    version: int
    known_since: float
