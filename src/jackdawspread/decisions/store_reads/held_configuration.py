"""Configuration that an instance uses."""

from typing import NamedTuple

from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration


class HeldConfiguration(NamedTuple):
    """Configuration in use, and when the store last had it.

    Parameters
    ----------
    configuration : FleetConfiguration
        The configuration.
    epoch : int
        Epoch of the store in which the store had it.
    confirmed_at : float
        Boot-time clock in seconds at which the store had it.
    """

    configuration: FleetConfiguration
    epoch: int
    confirmed_at: float
