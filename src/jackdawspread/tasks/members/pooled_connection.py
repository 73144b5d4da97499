"""Connection in a pool."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.connection_context import (
    EMPTY_CONTEXT,
    ConnectionContext,
)
from jackdawspread.messages.statements.member_exchange import MemberExchange


class PooledConnection(NamedTuple):
    """Open member connection, with its workspace and its session state."""

    id: int
    workspace: str
    exchanges: MemorySendChannel[MemberExchange]
    context: ConnectionContext = EMPTY_CONTEXT
