"""Reply together with the caller's new session token."""

from typing import NamedTuple

from jackdawspread.messages.reply import Reply


class CallerReply(NamedTuple):
    """What the gateway returns to a caller connection."""

    reply: Reply
    session_token: str
