"""Puts another preset in force."""

from typing import NamedTuple


class ChangePreset(NamedTuple):
    """Puts another preset in force through the first instance."""

    name: str
