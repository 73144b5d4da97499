"""Event: a deadline has come."""

from typing import NamedTuple


class TimePassed(NamedTuple):
    """Time has passed; ``peers`` can be asked."""

    peers: tuple[str, ...]
