"""Request of a connection."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.http_response import HttpResponse


class Submission(NamedTuple):
    """Decoded request with the channel that takes its answer."""

    connection: int
    request: object
    reply_to: MemorySendChannel[HttpResponse]
