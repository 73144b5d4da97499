"""Request that a connection received."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.http_response import HttpResponse


class PlatformSubmission(NamedTuple):
    """Decoded request with the channel to which its answer is sent.

    If the channel is closed without an answer, the connection is closed.
    """

    request: object
    reply_to: MemorySendChannel[HttpResponse]
