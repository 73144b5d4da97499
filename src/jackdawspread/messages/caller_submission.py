"""Caller request with the channel that takes its reply."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.caller_request import CallerRequest


class CallerSubmission(NamedTuple):
    """Hands a caller's request to the gateway.

    The channel has a buffer of one, so the single reply never blocks.
    """

    request: CallerRequest
    reply_to: MemorySendChannel[CallerReply]
