"""Member connection as the pool sees it."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.connection_context import (
    EMPTY_CONTEXT,
    ConnectionContext,
)
from jackdawspread.messages.statements.member_exchange import MemberExchange


class PooledConnection(NamedTuple):
    """Open connection with the workspace and the session state that it carries."""

    id: int
    workspace: str
    exchanges: MemorySendChannel[MemberExchange]
    context: ConnectionContext = EMPTY_CONTEXT
