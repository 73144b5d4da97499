"""Timer: the replication lag of an entry is over."""

from typing import NamedTuple


class ApplyDue(NamedTuple):
    """Timer: the replication lag of an entry is over."""
