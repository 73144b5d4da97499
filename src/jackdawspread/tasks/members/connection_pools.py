"""Pools of connections to all members."""

from collections.abc import Callable
from itertools import count

from trio import MemorySendChannel, Nursery

from jackdawspread.decisions.members.connection_limits import ConnectionLimits
from jackdawspread.messages.fleet.connection_closed import ConnectionClosed
from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.tasks.fleet.fleet_metrics import MEMBER_CONNECTIONS
from jackdawspread.tasks.members.member_codec import MemberCodec
from jackdawspread.tasks.members.member_connection import MemberConnection
from jackdawspread.tasks.members.member_pool import MemberPool
from jackdawspread.tasks.members.orphaned_connection import OrphanedConnection
from jackdawspread.tasks.members.pooled_connection import PooledConnection
from jackdawspread.tasks.members.refuse_request import (
    count_admission,
    log_refusal,
    refuse,
    refuse_waiting_request,
)
from jackdawspread.tasks.run_isolated import run_isolated

LeaseOffer = Callable[[ConnectionRequest, MemberPool, PooledConnection], bool]

# A member that has refused a connection because it has too many is asked for another
# one only after this time.
CONNECTION_LIMIT_BACKOFF_S = 0.2
# Codes with which a member refuses a connection; other errors are texts of any kind.
REFUSAL_CODES = frozenset(("toomany", "misrouted", "busy"))


class ConnectionPools:
    """Leases member connections and opens or closes them as needed.

    Only the member router uses this object.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the connections.
    make_codec : callable
        Returns a codec for a new connection.
    router : trio.MemorySendChannel
        Inbox of the router, to which the connections report.
    offer_lease : callable
        Offers a connection to a request; returns whether it was accepted.
    admits_by_priority : bool
        Whether waiting requests are served by the priority of their routes.
    """

    def __init__(
        self,
        nursery: Nursery,
        make_codec: Callable[[], MemberCodec],
        router: MemorySendChannel[RouterEvent],
        offer_lease: LeaseOffer,
        admits_by_priority: bool = False,
    ) -> None:
        self._nursery = nursery
        self._make_codec = make_codec
        self._router = router
        self._offer_lease = offer_lease
        self._admits_by_priority = admits_by_priority
        self._ids = count(1)
        self.pool_by_member: dict[str, MemberPool] = {}
        self._orphan_by_id: dict[int, OrphanedConnection] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for a connection."""
        return any(pool.waiting for pool in self.pool_by_member.values())

    def update_members(
        self, listing_by_id: dict[str, MemberListing], now: float
    ) -> None:
        """Create and remove pools according to the list of members.

        Requests that name a member without an entry wait on in another pool.
        """
        for member, pool in list(self.pool_by_member.items()):
            listing = listing_by_id.get(member)
            if listing is None:
                unlisted = pool.take_unlisted()
                self._remove_pool(pool, "the member is no longer listed")
                for request in unlisted:
                    self._request_unlisted(member, request, now)
            elif listing.address != pool.listing.address:
                self._remove_pool(pool, "the member is no longer listed")
            else:
                pool.listing = listing
        for member, listing in listing_by_id.items():
            if member not in self.pool_by_member:
                self._add_pool(listing)

    def add_unlisted(self, listing: MemberListing) -> None:
        """Create the pool of a member without an entry, until the next list."""
        self._add_pool(listing)

    def cut_off(self, failure_domains: set[str]) -> None:
        """Close all connections to the members of evacuated failure domains.

        What is still to be sent on a leased connection fails as not sent, and the
        member rolls its transaction back. Waiting requests are refused as not run.
        """
        for pool in list(self.pool_by_member.values()):
            if pool.listing.failure_domain in failure_domains:
                self._remove_pool(pool, "the failure domain is evacuated")
                self._add_pool(pool.listing).limits = pool.limits
        for orphan in self._orphan_by_id.values():
            if orphan.failure_domain in failure_domains:
                _close(orphan.connection)

    def set_limits(self, member: str, limits: ConnectionLimits) -> None:
        """Set how many connections this instance may have to a member."""
        pool = self.pool_by_member[member]
        pool.limits = limits
        _close_excess(pool)

    def request(self, member: str, request: ConnectionRequest, now: float) -> None:
        """Lease a connection to a member as soon as one is free.

        A request that would not get its turn in time is refused at once, with the
        time after which the queue is expected to be shorter. With admission by priority
        this includes waiting requests that the new one displaces.
        """
        pool = self.pool_by_member[member]
        refusals = pool.refuse_unservable(request, now)
        waiting = len(pool.waiting)
        pool.waiting.append(request)
        for refusal in refusals:
            pool.waiting.remove(refusal.request)
            refuse_waiting_request(refusal, waiting, member)
            if self._admits_by_priority:
                log_refusal(refusal, waiting, member)
        self._serve(pool, now)

    def handle_busy(self, member: str, now: float) -> None:
        """Send a member less that refused a statement because its queue was full."""
        pool = self.pool_by_member.get(member)
        if pool is not None:
            pool.handle_rejection(now)

    def handle_opened(self, event: ConnectionOpened, now: float) -> str:
        """Add a new connection to its pool; return the error text of a failed one."""
        result = event.error if event.error in REFUSAL_CODES else "unreachable"
        MEMBER_CONNECTIONS.labels(result if event.error else "opened").inc()
        pool = self.pool_by_member.get(event.member)
        workspace = None
        if pool is not None:
            workspace = pool.workspace_by_pending_connection.pop(event.connection, None)
        if pool is None or workspace is None:
            if event.exchanges is not None:
                event.exchanges.close()
            return event.error
        if event.exchanges is None:
            self._handle_failed_connection(pool, workspace, event, now)
        else:
            pool.idle.append(
                PooledConnection(event.connection, workspace, event.exchanges)
            )
        self._serve(pool, now)
        return event.error

    def handle_returned(self, event: LeaseReturned, now: float) -> None:
        """Return a leased connection to its pool."""
        orphan = self._orphan_by_id.pop(event.connection, None)
        if orphan is not None:
            _close(orphan.connection)
        pool = self.pool_by_member.get(event.member)
        if pool is None:
            return
        connection = pool.take_leased(event.connection, now)
        if connection is None:
            return
        if event.context is None or pool.size >= pool.limits.open:
            _close(connection)
        else:
            pool.idle.append(connection._replace(context=event.context))
        self._serve(pool, now)

    def handle_closed(self, event: ConnectionClosed, now: float) -> None:
        """Remove an idle connection that has closed."""
        pool = self.pool_by_member.get(event.member)
        if pool is not None:
            pool.idle = [c for c in pool.idle if c.id != event.connection]
            self._serve(pool, now)

    def drop_idle(self, member: str) -> None:
        """Close the idle connections of an unreachable member."""
        pool = self.pool_by_member.get(member)
        if pool is not None:
            pool.handle_lost()

    def refuse_expired(self, now: float) -> None:
        """Refuse the requests whose time has expired, and serve the remaining ones."""
        for pool in self.pool_by_member.values():
            expired = [r for r in pool.waiting if r.expires_at <= now]
            pool.waiting = [r for r in pool.waiting if r.expires_at > now]
            for request in expired:
                refuse(request, "busy", "every connection to the member is in use")
                count_admission("expired", request)
            if pool.waiting:
                self._serve(pool, now)

    def _serve(self, pool: MemberPool, now: float) -> None:
        for connection in reversed(pool.idle[:]):
            self._lease(pool, connection, now)
        self._open_for_waiting(pool, now)
        _close_excess(pool)

    def _open_for_waiting(self, pool: MemberPool, now: float) -> None:
        while (request := pool.next_waiter(now)) is not None:
            if pool.size >= pool.limits.open or now < pool.connection_limit_until:
                oldest = pool.take_oldest_idle()
                if oldest is None:
                    return
                _close(oldest)
            self._open(pool, request.workspace)

    def _lease(
        self, pool: MemberPool, connection: PooledConnection, now: float
    ) -> None:
        while (request := pool.take_waiter(connection.workspace, now)) is not None:
            if self._offer_lease(request, pool, connection):
                pool.lease(connection, request, now)
                count_admission("admitted", request)
                return

    def _open(self, pool: MemberPool, workspace: str) -> None:
        id = next(self._ids)
        pool.workspace_by_pending_connection[id] = workspace
        connection = MemberConnection(
            id, pool.listing, workspace, self._make_codec, self._router
        )
        self._nursery.start_soon(run_isolated, "members", connection.run)

    def _handle_failed_connection(
        self, pool: MemberPool, workspace: str, event: ConnectionOpened, now: float
    ) -> None:
        if event.error == "busy":
            pool.handle_rejection(now)
        if event.error == "toomany":
            pool.connection_limit_until = now + CONNECTION_LIMIT_BACKOFF_S
            if pool.size > 0:
                return
        request = pool.take_waiter(workspace, now)
        if request is not None:
            refuse(request, "unreachable", event.error, pool.listing.id)

    def _request_unlisted(
        self, member: str, request: ConnectionRequest, now: float
    ) -> None:
        if member not in self.pool_by_member and request.unlisted is not None:
            self.add_unlisted(request.unlisted)
        self.request(member, request, now)

    def _add_pool(self, listing: MemberListing) -> MemberPool:
        pool = MemberPool(listing, self._admits_by_priority)
        self.pool_by_member[listing.id] = pool
        return pool

    def _remove_pool(self, pool: MemberPool, reason: str) -> None:
        del self.pool_by_member[pool.listing.id]
        for connection in pool.idle:
            _close(connection)
        for id, connection in pool.leased_by_id.items():
            orphan = OrphanedConnection(connection, pool.listing.failure_domain)
            self._orphan_by_id[id] = orphan
        for request in pool.waiting:
            refuse(request, "unreachable", reason, pool.listing.id)


def _close_excess(pool: MemberPool) -> None:
    """Close the idle connections above the limit, so that others can be opened."""
    while len(pool.idle) > pool.limits.idle:
        _close(pool.idle.pop(0))


def _close(connection: PooledConnection) -> None:
    connection.exchanges.close()
