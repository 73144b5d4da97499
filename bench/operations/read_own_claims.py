"""A gardener reads own claims, none of which may be missing."""

from typing import NamedTuple


class ReadOwnClaims(NamedTuple):
    """A gardener reads own claims, none of which may be missing."""
