"""Report that a newer configuration exists than the one in use."""

from typing import NamedTuple


class NewerConfigurationKnown(NamedTuple):
    """Reports the newest version that another instance has shown to exist."""

    version: int
