"""Selection of a preset."""

from typing import NamedTuple


class SelectPreset(NamedTuple):
    """Selects the preset that applies from now on."""

    name: str
