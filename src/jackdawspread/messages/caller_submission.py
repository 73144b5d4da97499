"""Caller's request with the channel for its reply."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.caller_request import CallerRequest


class CallerSubmission(NamedTuple):
    """Submits a caller's request to the gateway.

    The channel has a buffer of one, so sending the single reply never blocks.
    """

    request: CallerRequest
    reply_to: MemorySendChannel[CallerReply]
