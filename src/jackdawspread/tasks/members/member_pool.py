"""Connections of this instance to one member."""

from collections import Counter

from jackdawspread.decisions.members.connection_limits import ConnectionLimits
from jackdawspread.decisions.members.next_waiter import next_waiter
from jackdawspread.decisions.members.statement_queue import (
    StatementQueue,
    end_statement,
    expected_wait_s,
    start_statement,
    statement_limit,
)
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.tasks.members.pooled_connection import PooledConnection


class MemberPool:
    """Idle and leased connections to a member, and the requests that wait for one.

    Only the member router uses this object. Idle connections are ordered by their
    last use, oldest first.

    Parameters
    ----------
    listing : MemberListing
        The member.
    """

    def __init__(self, listing: MemberListing) -> None:
        self.listing = listing
        self.idle: list[PooledConnection] = []
        self.leased_by_id: dict[int, PooledConnection] = {}
        self.workspace_by_pending_connection: dict[int, str] = {}
        self.waiting: list[ConnectionRequest] = []
        self.limits = ConnectionLimits(open=1, idle=1)
        self.connection_limit_until = 0.0
        self._statements = StatementQueue()

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return (
            len(self.idle)
            + len(self.leased_by_id)
            + len(self.workspace_by_pending_connection)
        )

    @property
    def statement_duration_s(self) -> float:
        """Moving average of the time in seconds for which a statement lasts."""
        return self._statements.duration_s

    def lease(
        self, connection: PooledConnection, request: ConnectionRequest, now: float
    ) -> None:
        """Move an idle connection to the leased ones."""
        self.idle.remove(connection)
        self.leased_by_id[connection.id] = connection
        if request.is_single_statement:
            self._statements = start_statement(self._statements, connection.id, now)

    def take_leased(self, id: int, now: float) -> PooledConnection | None:
        """Remove and return a leased connection."""
        self._statements = end_statement(self._statements, id, now)
        return self.leased_by_id.pop(id, None)

    def expected_wait_s(self, request: ConnectionRequest) -> float:
        """Return the seconds for which a new request would wait for its turn."""
        if not request.is_single_statement:
            return 0.0
        return expected_wait_s(
            self._statements,
            self.listing.slots,
            request,
            self.waiting,
            self._in_use(),
        )

    def has_idle(self, workspace: str) -> bool:
        """Whether the workspace has an idle connection."""
        return any(connection.workspace == workspace for connection in self.idle)

    def can_serve(self, workspace: str, now: float) -> bool:
        """Whether a connection can be leased or opened without waiting."""
        if self.has_idle(workspace) or self.idle:
            return True
        return self.size < self.limits.open and now >= self.connection_limit_until

    def take_oldest_idle(self) -> PooledConnection | None:
        """Remove and return the least recently used idle connection."""
        return self.idle.pop(0) if self.idle else None

    def take_waiter(self, workspace: str) -> ConnectionRequest | None:
        """Remove and return the next waiting request of a workspace."""
        free = self._free_statements()
        own = [
            request
            for request in self.waiting
            if request.workspace == workspace
            and (free > 0 or not request.is_single_statement)
        ]
        return self._take(own)

    def next_waiter(self) -> ConnectionRequest | None:
        """Return the next request that needs a new connection, without removing it.

        Requests for which a connection is already being opened are skipped.
        """
        pending = Counter(self.workspace_by_pending_connection.values())
        free = self._free_statements() - pending.total()
        left = []
        for request in self.waiting:
            if pending[request.workspace] > 0:
                pending[request.workspace] -= 1
            elif free > 0 or not request.is_single_statement:
                left.append(request)
        return next_waiter(left, self._in_use()) if left else None

    def _free_statements(self) -> int:
        """Return how many single statements may be sent to the member now."""
        running = len(self._statements.started_at_by_lease)
        return statement_limit(self.listing.slots) - running

    def _take(self, requests: list[ConnectionRequest]) -> ConnectionRequest | None:
        if not requests:
            return None
        request = next_waiter(requests, self._in_use())
        self.waiting.remove(request)
        return request

    def _in_use(self) -> Counter[str]:
        return Counter(c.workspace for c in self.leased_by_id.values())
