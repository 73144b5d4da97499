"""Routed request with the channel that takes its reply."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest


class RoutedSubmission(NamedTuple):
    """Hands an admitted request to a database owner or a peer link.

    The receiver sends exactly one `RoutedReply` with the request's id.
    """

    request: RoutedRequest
    reply_to: MemorySendChannel[RoutedReply]
