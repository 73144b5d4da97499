"""Call to the platform without an outcome."""

from typing import NamedTuple


class PendingCall(NamedTuple):
    """Time before the call was made, and the row it writes; empty for a poll."""

    asked_at: float
    key: str = ""
