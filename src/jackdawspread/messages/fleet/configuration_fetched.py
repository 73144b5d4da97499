"""Outcome of a fetch of the configuration from another instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy


class ConfigurationFetched(NamedTuple):
    """Reports the copy that was fetched, or None if the fetch has failed."""

    source: str
    copy: ConfigurationCopy | None
