"""An agent reads own amendments, none of which may be missing."""

from typing import NamedTuple


class ReadOwnAmendments(NamedTuple):
    """An agent reads own amendments, none of which may be missing."""
