"""Change asked for by an operator."""

from typing import NamedTuple

from jackdawspread.messages.configuration_change import ConfigurationChange


class AdminChange(NamedTuple):
    """Asks for a change; `expected_version` 0 means the newest version known."""

    id: str
    change: ConfigurationChange
    expected_version: int = 0
