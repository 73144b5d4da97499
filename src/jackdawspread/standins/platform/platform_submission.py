"""Request of a connection."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.http_response import HttpResponse


class PlatformSubmission(NamedTuple):
    """Decoded request with the channel that takes its answer.

    The channel is closed without an answer when the connection is to be closed.
    """

    request: object
    reply_to: MemorySendChannel[HttpResponse]
