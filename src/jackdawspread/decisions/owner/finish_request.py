"""Effect: reply to a request."""

from typing import NamedTuple

from jackdawspread.messages.reply import Reply


class FinishRequest(NamedTuple):
    """Send the reply, which ends the request."""

    reply: Reply
