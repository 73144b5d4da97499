"""Row of the platform's table."""

from typing import Any, NamedTuple


class Row(NamedTuple):
    """Value and the version that its last change assigned."""

    version: int
    value: Any
