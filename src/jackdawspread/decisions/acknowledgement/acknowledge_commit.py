"""Decision to acknowledge a commit."""

from typing import NamedTuple


class AcknowledgeCommit(NamedTuple):
    """Acknowledges a commit that no promotion can lose."""
