"""Order to receive the primary's log again."""

from typing import NamedTuple


class ResumeReplication(NamedTuple):
    """Ends a pause of replication."""
