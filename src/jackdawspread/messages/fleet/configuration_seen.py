"""Report of the configuration in force."""

from typing import NamedTuple

from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration


class ConfigurationSeen(NamedTuple):
    """Says what the store holds, or that nothing newer is there.

    Parameters
    ----------
    configuration : FleetConfiguration or None
        The newest version; None if it has not changed since the last report.
    as_of : float
        Time in seconds, counting suspension, at which the store was asked.
    """

    configuration: FleetConfiguration | None
    as_of: float
