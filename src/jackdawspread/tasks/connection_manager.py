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
    """Starts connection tasks, sends them calls and correlates the outcomes.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the connection tasks.
    outcomes : trio.MemorySendChannel
        Takes the outcomes; its bound exceeds the number of connections, each of
        which has at most one call in flight, so sending never blocks.
    make_connection : callable
        Makes the task of a connection from id, address and inbox.
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
        self._calls_by_id: dict[int, MemorySendChannel[HttpCall]] = {}
        self._scope_by_id: dict[int, CancelScope] = {}
        self._call_by_id: dict[int, MemberCall] = {}
        self._call_id_by_connection: dict[int, int] = {}

    def open(self, address: str) -> int:
        """Start a connection and return its id; the first call connects it."""
        id = next(self._connection_ids)
        calls, inbox = open_memory_channel[HttpCall](1)
        scope = CancelScope()
        self._calls_by_id[id], self._scope_by_id[id] = calls, scope
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
        """Make a call; the connection must have no other one in flight."""
        id = next(self._call_ids)
        self._call_by_id[id] = call
        self._call_id_by_connection[connection] = id
        http_call = HttpCall(id, "POST", target, body, deadline, self._outcomes)
        try:
            self._calls_by_id[connection].send_nowait(http_call)
        except (BrokenResourceError, WouldBlock):
            error = "connection failed: closed before the call"
            outcome = HttpOutcome(id, connection, 0, {}, False, error)
            self._outcomes.send_nowait(outcome)

    def take(self, outcome: HttpOutcome) -> MemberCall | None:
        """Return the call of an outcome, or None if nobody waits for it."""
        call = self._call_by_id.pop(outcome.id, None)
        if call is None:
            return None
        self._call_id_by_connection.pop(outcome.connection, None)
        if outcome.error:
            self.close(outcome.connection)
        return call

    def close(self, connection: int) -> MemberCall | None:
        """Close a connection; return its call in flight, whose answer is dropped."""
        calls = self._calls_by_id.pop(connection, None)
        if calls is None:
            return None
        calls.close()
        self._scope_by_id.pop(connection).cancel()
        id = self._call_id_by_connection.pop(connection, None)
        return None if id is None else self._call_by_id.pop(id, None)


async def _run_in_scope(run: Callable[[], Awaitable[None]], scope: CancelScope) -> None:
    with scope:
        await run()
