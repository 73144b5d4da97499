"""Request to be told when commits of a group may be acknowledged."""

from typing import NamedTuple

from trio import MemorySendChannel


class AwaitWritable(NamedTuple):
    """Asks the acknowledgement task before a write or a COMMIT is sent.

    Parameters
    ----------
    group : str
        Member group.
    expires_at : float
        Monotonic time in seconds until which the sender waits.
    reply_to : trio.MemorySendChannel
        Receives an empty text once the statement may be sent, or the reason why it may
        not at ``expires_at``.
    """

    group: str
    expires_at: float
    reply_to: MemorySendChannel[str]
