"""Answer of the store about the configuration."""

from collections.abc import Mapping
from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration


class StoredConfigurationSeen(NamedTuple):
    """Reports what the store has, or that it has not changed.

    Parameters
    ----------
    way : ConfigurationWay
        ``READ`` for a complete answer, ``FEED`` for the changes since the last one.
    configuration : FleetConfiguration or None
        Configuration in the answer; None if it has none that could be decoded.
    is_absent : bool
        Whether the store has no configuration, or none any more.
    revision : ConfigurationRevision
        Its identity; ``NO_REVISION`` without a configuration.
    evacuation_version_by_domain : mapping
        Version of each evacuation in the answer; None for one that has ended.
    epoch : int
        Epoch of the store.
    store_version : int
        Version of the store.
    store_time_s : float
        Time of the store's clock in seconds.
    received_at : float
        Boot-time clock in seconds at which the answer began to arrive.
    """

    way: ConfigurationWay
    configuration: FleetConfiguration | None
    is_absent: bool
    revision: ConfigurationRevision
    evacuation_version_by_domain: Mapping[str, int | None]
    epoch: int
    store_version: int
    store_time_s: float
    received_at: float
