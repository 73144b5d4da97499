"""Report of the current configuration."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration


class ConfigurationSeen(NamedTuple):
    """Reports a new version, or confirms that the last reported one is current.

    Parameters
    ----------
    configuration : FleetConfiguration or None
        The newest version; None if it has not changed since the last report.
    as_of : float
        Boot-time clock in seconds at which the store had it.
    way : ConfigurationWay or None
        How a new version arrived.
    """

    configuration: FleetConfiguration | None
    as_of: float
    way: ConfigurationWay | None = None
