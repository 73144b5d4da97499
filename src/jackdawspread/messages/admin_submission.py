"""Operator's request with the channel for its result."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.admin_status_query import AdminStatusQuery


class AdminSubmission(NamedTuple):
    """Submits an operator's request to the control task.

    The channel has a buffer of one, so sending the single result never blocks.
    """

    request: AdminChange | AdminStatusQuery
    reply_to: MemorySendChannel[AdminResult]
