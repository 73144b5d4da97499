"""Two versions of the configuration after a lost race."""

from typing import NamedTuple

from jackdawspread.messages.configuration_document import ConfigurationDocument


class LostRace(NamedTuple):
    """What the loser asked for, and what is stored."""

    yours: ConfigurationDocument
    current: ConfigurationDocument
