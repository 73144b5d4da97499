"""A replica starts again under its id without its log."""

from typing import NamedTuple


class LoseLog(NamedTuple):
    """A replica starts again under its id without its log."""

    is_requested: bool
