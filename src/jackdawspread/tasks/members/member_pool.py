"""Connections of this instance to one member."""

from collections import Counter

from absl import logging

from jackdawspread.decisions.members.admission_updates import (
    concurrency_limit,
    lease_ended,
    lease_started,
    member_lost,
    member_rejected,
)
from jackdawspread.decisions.members.connection_limits import ConnectionLimits
from jackdawspread.decisions.members.priority_admission import (
    make_priority_admission,
)
from jackdawspread.decisions.members.statement_admission import (
    StatementAdmission,
    admissible_requests,
    choose_request,
    refuse_unservable,
)
from jackdawspread.decisions.members.statement_queue import StatementQueue
from jackdawspread.decisions.members.waiting_refusal import WaitingRefusal
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.tasks.fleet.fleet_metrics import MEMBER_CONCURRENCY_LIMIT
from jackdawspread.tasks.members.pooled_connection import PooledConnection


class MemberPool:
    """Idle and leased connections to a member, and the requests that wait for one.

    Only the member router uses this object. Idle connections are ordered by their
    last use, oldest first.

    Parameters
    ----------
    listing : MemberListing
        The member.
    admits_by_priority : bool
        Whether waiting requests are served by the priority of their routes.
    """

    def __init__(
        self, listing: MemberListing, admits_by_priority: bool = False
    ) -> None:
        self.listing = listing
        self.idle: list[PooledConnection] = []
        self.leased_by_id: dict[int, PooledConnection] = {}
        self.workspace_by_pending_connection: dict[int, str] = {}
        self.waiting: list[ConnectionRequest] = []
        self.limits = ConnectionLimits(open=1, idle=1)
        self.connection_limit_until = 0.0
        self._statements: StatementAdmission = StatementQueue()
        if admits_by_priority:
            self._statements = make_priority_admission(listing.slots)
        self._reported_limit = concurrency_limit(self._statements, listing.slots)

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return (
            len(self.idle)
            + len(self.leased_by_id)
            + len(self.workspace_by_pending_connection)
        )

    def take_unlisted(self) -> list[ConnectionRequest]:
        """Remove and return the requests that the member need not be listed for."""
        unlisted = [request for request in self.waiting if request.unlisted is not None]
        self.waiting = [request for request in self.waiting if request.unlisted is None]
        return unlisted

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
        self._statements = lease_started(
            self._statements, connection.id, request, self.waiting, now
        )

    def take_leased(self, id: int, now: float) -> PooledConnection | None:
        """Remove and return a leased connection."""
        others_wait = bool(self.waiting)
        self._statements = lease_ended(
            self._statements, id, self.listing.slots, others_wait, now
        )
        self._report_limit()
        return self.leased_by_id.pop(id, None)

    def handle_rejection(self, now: float) -> None:
        """Send the member less after it refused a statement or a connection."""
        self._statements = member_rejected(self._statements, now)
        self._report_limit()

    def handle_lost(self) -> None:
        """Close the idle connections of an unreachable member."""
        self._statements = member_lost(self._statements, self.listing.slots)
        self._report_limit()
        for connection in self.idle:
            connection.exchanges.close()
        self.idle = []

    def refuse_unservable(
        self, newest: ConnectionRequest, now: float
    ) -> list[WaitingRefusal]:
        """Return the requests that can't be served in time beside the newest one."""
        return refuse_unservable(
            self._statements,
            self.listing.slots,
            self.waiting,
            newest,
            self._in_use(),
            now,
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

    def take_waiter(self, workspace: str, now: float) -> ConnectionRequest | None:
        """Remove and return the next waiting request of a workspace."""
        own = [
            request
            for request in self._admissible(0, now)
            if request.workspace == workspace
        ]
        if not own:
            return None
        request = choose_request(self._statements, own, self._in_use())
        self.waiting.remove(request)
        return request

    def next_waiter(self, now: float) -> ConnectionRequest | None:
        """Return the next request that needs a new connection, without removing it.

        Requests for which a connection is already being opened are skipped.
        """
        pending = Counter(self.workspace_by_pending_connection.values())
        admissible = self._admissible(pending.total(), now)
        for request in self.waiting:
            if pending[request.workspace] > 0:
                pending[request.workspace] -= 1
                if request in admissible:
                    admissible.remove(request)
        if not admissible:
            return None
        return choose_request(self._statements, admissible, self._in_use())

    def _admissible(
        self, pending_connections: int, now: float
    ) -> list[ConnectionRequest]:
        """Return the waiting requests that the member may be sent now."""
        if not self.waiting:
            return []
        return admissible_requests(
            self._statements,
            self.listing.slots,
            self.waiting,
            self._in_use(),
            pending_connections,
            now,
        )

    def _report_limit(self) -> None:
        """Log and count a change of the limit; a fixed limit never changes."""
        limit = concurrency_limit(self._statements, self.listing.slots)
        if limit == self._reported_limit:
            return
        logging.info(
            "pool: limit changed member=%s limit=%d previous=%d",
            self.listing.id,
            limit,
            self._reported_limit,
        )
        self._reported_limit = limit
        MEMBER_CONCURRENCY_LIMIT.labels(self.listing.id).set(limit)

    def _in_use(self) -> Counter[str]:
        return Counter(c.workspace for c in self.leased_by_id.values())
