"""Commands to a member connection, with the channel for the reply."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply


class MemberExchange(NamedTuple):
    """Sequence of commands that has one reply.

    Parameters
    ----------
    commands : tuple of MemberCommand
        Commands in their order. The exchange ends at the first error; without an
        error, its reply is that to the last command.
    deadline : float
        Monotonic time in seconds at which an unfinished exchange fails and the
        connection is closed.
    reply_to : trio.MemorySendChannel
        Receives the reply to the last command, or the first error.
    connection : int
        Id of the lease on which the commands run.
    """

    commands: tuple[MemberCommand, ...]
    deadline: float
    reply_to: MemorySendChannel[MemberReply | ExchangeFailure]
    connection: int
