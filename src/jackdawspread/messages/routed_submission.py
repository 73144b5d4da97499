"""Routed request with the channel for its reply."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest


class RoutedSubmission(NamedTuple):
    """Submits an admitted request to a local owner or a peer client stream.

    The receiver sends exactly one `RoutedReply` with the request's id.
    """

    request: RoutedRequest
    reply_to: MemorySendChannel[RoutedReply]
