"""Row of the table."""

from typing import Any, NamedTuple


class Row(NamedTuple):
    """Value with the version that its last change gave it."""

    version: int
    value: Any
