"""Log line of a control decision."""

from typing import NamedTuple


class ControlLog(NamedTuple):
    """Text to log, with its prefix; it holds no caller's key."""

    text: str
