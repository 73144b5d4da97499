"""Command to a member connection with the place for its answer."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply


class MemberExchange(NamedTuple):
    """Commands that are sent together and answered together.

    Parameters
    ----------
    commands : tuple of MemberCommand
        Sent in one piece; the answer to the last one counts, and an error of an
        earlier one ends the exchange.
    deadline : float
        Monotonic time in seconds; the connection is closed when it passes.
    reply_to : trio.MemorySendChannel
        Takes the reply to the last command, or the first error.
    """

    commands: tuple[MemberCommand, ...]
    deadline: float
    reply_to: MemorySendChannel[MemberReply | ExchangeFailure]
