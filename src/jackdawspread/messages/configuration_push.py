"""Configuration sent to a peer."""

from typing import NamedTuple

from jackdawspread.messages.configuration_document import ConfigurationDocument


class ConfigurationPush(NamedTuple):
    """Configuration that the platform has stored, sent to a peer."""

    document: ConfigurationDocument
