"""Operator's request to change the configuration."""

from typing import NamedTuple

from jackdawspread.messages.configuration_change import ConfigurationChange


class AdminChange(NamedTuple):
    """Requests a change; ``expected_version`` 0 means the newest known version.

    The control task sets ``received_at``, the time at which the request arrived.
    """

    id: str
    change: ConfigurationChange
    expected_version: int = 0
    received_at: float = 0.0
