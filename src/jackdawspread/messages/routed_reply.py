"""Reply to a routed request."""

from typing import NamedTuple

from jackdawspread.messages.reply import Reply


class RoutedReply(NamedTuple):
    """Reply, correlated with its request by id."""

    id: str
    reply: Reply
