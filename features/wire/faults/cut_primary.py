"""An instance is cut off from the primary, or only its answers are lost."""

from typing import NamedTuple


class CutPrimary(NamedTuple):
    """An instance is cut off from the primary, or only its answers are lost."""

    is_one_way: bool
