"""Removal of all session state at a member."""

from typing import NamedTuple


class ResetSession(NamedTuple):
    """Drops the values and prepared names of a member connection."""
