"""Last message of a caller's session."""

from typing import NamedTuple


class CloseSession(NamedTuple):
    """Closes the session."""
