"""Write of one item."""

from typing import NamedTuple


class WriteItem(NamedTuple):
    """Writes an item; ``arguments`` is forwarded unchanged."""

    arguments: str
