"""Runs commands on a leased member connection."""

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    WouldBlock,
    open_memory_channel,
)

from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_exchange import MemberExchange
from jackdawspread.messages.statements.member_reply import MemberReply


async def run_exchange(
    lease: MemberLease, commands: tuple[MemberCommand, ...], deadline: float
) -> MemberReply | ExchangeFailure:
    """Return the reply to the last command or the first error.

    ``deadline`` is the monotonic time in seconds at which an unfinished exchange fails
    and the connection is closed.
    """
    send, receive = open_memory_channel[MemberReply | ExchangeFailure](1)
    try:
        lease.exchanges.send_nowait(
            MemberExchange(commands, deadline, send, lease.connection)
        )
    except (BrokenResourceError, ClosedResourceError, WouldBlock):
        reason = "the connection was lost while idle"
        return ExchangeFailure(False, reason, at_host=bool(lease.host))
    return await receive.receive()
