"""Change asked for by an operator."""

from typing import NamedTuple

from jackdawspread.messages.configuration_change import ConfigurationChange


class AdminChange(NamedTuple):
    """Asks for a change; `expected_version` 0 means the newest version known.

    The control side sets `received_at`, the time at which the request arrived.
    """

    id: str
    change: ConfigurationChange
    expected_version: int = 0
    received_at: float = 0.0
