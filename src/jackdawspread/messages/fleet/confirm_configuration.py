"""Order to have the store confirm the configuration."""

from typing import NamedTuple


class ConfirmConfiguration(NamedTuple):
    """Asks the configuration reader for an answer of the store without a wait."""
