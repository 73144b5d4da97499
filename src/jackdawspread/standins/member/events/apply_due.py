"""Timer: a held entry may be applied."""

from typing import NamedTuple


class ApplyDue(NamedTuple):
    """Timer: a held entry may be applied."""
