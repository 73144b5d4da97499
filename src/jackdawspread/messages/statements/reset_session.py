"""Removal of all session state from a member connection."""

from typing import NamedTuple


class ResetSession(NamedTuple):
    """Removes the values and prepared statements of a member connection."""
