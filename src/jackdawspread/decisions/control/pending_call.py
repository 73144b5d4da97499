"""Call to the platform whose outcome has not arrived."""

from typing import NamedTuple


class PendingCall(NamedTuple):
    """Time just before the call was sent, and the row it writes.

    ``key`` is empty for a poll.
    """

    sent_at: float
    key: str = ""
