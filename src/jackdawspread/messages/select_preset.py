"""Selection of a preset."""

from typing import NamedTuple


class SelectPreset(NamedTuple):
    """Puts a preset in force."""

    name: str
