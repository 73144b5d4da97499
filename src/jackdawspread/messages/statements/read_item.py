"""Read of one item."""

from typing import NamedTuple


class ReadItem(NamedTuple):
    """Reads an item; ``arguments`` is forwarded unchanged."""

    arguments: str
