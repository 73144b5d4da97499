"""Configuration sent to a peer."""

from typing import NamedTuple

from jackdawspread.messages.configuration_document import ConfigurationDocument


class ConfigurationPush(NamedTuple):
    """Carries a configuration that the platform has accepted."""

    document: ConfigurationDocument
