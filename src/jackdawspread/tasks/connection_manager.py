"""Member connections of one owner."""

from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any

from trio import (
    BrokenResourceError,
    CancelScope,
    MemorySendChannel,
    Nursery,
    WouldBlock,
    open_memory_channel,
)

from jackdawspread.decisions.owner.member_call import MemberCall
from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.tasks.connection_task import ConnectionFactory


class ConnectionManager:
    """Starts connection tasks, sends calls to them and matches outcomes to calls.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the connection tasks.
    outcomes : trio.MemorySendChannel
        Channel for the outcomes. Its capacity exceeds the number of connections,
        each of which has at most one call in flight, so sending never blocks.
    make_connection : callable
        Creates the task of a connection from its id, address and inbox.
    """

    def __init__(
        self,
        nursery: Nursery,
        outcomes: MemorySendChannel[HttpOutcome],
        make_connection: ConnectionFactory,
    ) -> None:
        self._nursery = nursery
        self._outcomes = outcomes
        self._make_connection = make_connection
        self._connection_ids = count(1)
        self._call_ids = count(1)
        self._call_channel_by_connection: dict[int, MemorySendChannel[HttpCall]] = {}
        self._scope_by_connection: dict[int, CancelScope] = {}
        self._call_by_call_id: dict[int, MemberCall] = {}
        self._call_id_by_connection: dict[int, int] = {}

    def open(self, address: str) -> int:
        """Start a connection and return its id; the first call connects it."""
        id = next(self._connection_ids)
        calls, inbox = open_memory_channel[HttpCall](1)
        scope = CancelScope()
        self._call_channel_by_connection[id], self._scope_by_connection[id] = (
            calls,
            scope,
        )
        connection = self._make_connection(id, address, inbox)
        self._nursery.start_soon(_run_in_scope, connection.run, scope)
        return id

    def call(
        self,
        connection: int,
        target: str,
        body: dict[str, Any],
        deadline: float,
        call: MemberCall,
    ) -> None:
        """Make a call on a connection without another call in flight."""
        id = next(self._call_ids)
        self._call_by_call_id[id] = call
        self._call_id_by_connection[connection] = id
        http_call = HttpCall(id, "POST", target, body, deadline, self._outcomes)
        try:
            self._call_channel_by_connection[connection].send_nowait(http_call)
        except (BrokenResourceError, WouldBlock):
            error = "connection failed: closed before the call"
            outcome = HttpOutcome(id, connection, 0, {}, False, error)
            self._outcomes.send_nowait(outcome)

    def pop_call(self, outcome: HttpOutcome) -> MemberCall | None:
        """Remove and return the call of an outcome, or None if it was dropped."""
        call = self._call_by_call_id.pop(outcome.id, None)
        if call is None:
            return None
        self._call_id_by_connection.pop(outcome.connection, None)
        if outcome.error:
            self.close(outcome.connection)
        return call

    def close(self, connection: int) -> MemberCall | None:
        """Close a connection and return its call in flight, whose answer is dropped."""
        calls = self._call_channel_by_connection.pop(connection, None)
        if calls is None:
            return None
        calls.close()
        self._scope_by_connection.pop(connection).cancel()
        id = self._call_id_by_connection.pop(connection, None)
        return None if id is None else self._call_by_call_id.pop(id, None)


async def _run_in_scope(run: Callable[[], Awaitable[None]], scope: CancelScope) -> None:
    with scope:
        await run()
