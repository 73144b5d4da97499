"""Request that a connection received."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.http_response import HttpResponse


class Submission(NamedTuple):
    """Decoded request with the channel to which its answer is sent."""

    connection: int
    request: object
    reply_to: MemorySendChannel[HttpResponse]
