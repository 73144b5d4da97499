"""Query of a member's role and log."""

from typing import NamedTuple


class QueryStatus(NamedTuple):
    """Asks a member for its role, term and log position."""
