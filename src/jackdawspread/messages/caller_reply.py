"""Reply together with the caller's new session token."""

from typing import NamedTuple

from jackdawspread.messages.reply import Reply


class CallerReply(NamedTuple):
    """Reply of the gateway to a caller's connection."""

    reply: Reply
    session_token: str
