"""Request for a token to send a statement to a cold member."""

from typing import NamedTuple

from trio import MemorySendChannel


class ColdTokenRequest(NamedTuple):
    """Asks whether one statement may be sent to a cold member now.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the member.
    reply_to : trio.MemorySendChannel
        Receives None if a token is granted, or else the seconds after which one may
        be available.
    """

    group: str
    member: str
    reply_to: MemorySendChannel[float | None]
