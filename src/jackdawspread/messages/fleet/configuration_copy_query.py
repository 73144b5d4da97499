"""Query for a copy of the configuration that this instance holds."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision


class ConfigurationCopyQuery(NamedTuple):
    """Asks the configuration keeper for a copy; None answers if it has none."""

    base: ConfigurationRevision
    reply_to: MemorySendChannel[ConfigurationCopy | None]
