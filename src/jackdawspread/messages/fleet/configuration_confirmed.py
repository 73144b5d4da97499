"""Datagram with the version of the configuration that the store has confirmed."""

from typing import NamedTuple


class ConfigurationConfirmed(NamedTuple):
    """Passes on which configuration was in force.

    Parameters
    ----------
    version : int
        Version of the configuration.
    store_time_s : float
        Time of the store's clock at which the store confirmed it, in seconds.
    evacuated_domains : tuple of str or None
        Evacuated failure domains at that time, in ascending order; None if the sender
        does not follow evacuations.
    """

    version: int
    store_time_s: float
    evacuated_domains: tuple[str, ...] | None = None
