"""Reply to a routed request."""

from typing import NamedTuple

from jackdawspread.messages.reply import Reply


class RoutedReply(NamedTuple):
    """Reply with the id of its request."""

    id: str
    reply: Reply
