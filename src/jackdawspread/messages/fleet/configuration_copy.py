"""Copy of a configuration from another instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision


class ConfigurationCopy(NamedTuple):
    """Brings the configuration that another instance holds, as encoded changes.

    Parameters
    ----------
    revision : ConfigurationRevision
        The configuration.
    base : ConfigurationRevision
        Configuration to which the changes apply; ``NO_REVISION`` if they are complete.
    epoch : int
        Epoch of the store in which the store had the configuration.
    store_version : int
        Version of the store up to which the copy has all changes.
    confirmed_s : float
        Time of the store's clock in seconds at which the store had the configuration.
    evacuation_version_by_domain : dict or None
        Versions of the operators' requests to evacuate failure domains; None if the
        other instance does not follow them.
    encoded_changes : bytes
        Compressed `ConfigurationChanges`.
    """

    revision: ConfigurationRevision
    base: ConfigurationRevision
    epoch: int
    store_version: int
    confirmed_s: float
    evacuation_version_by_domain: dict[str, int] | None
    encoded_changes: bytes
