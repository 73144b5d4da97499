"""A replica joins, and its entry is written late."""

from typing import NamedTuple


class JoinUnlisted(NamedTuple):
    """A replica joins, and its entry is written late."""
