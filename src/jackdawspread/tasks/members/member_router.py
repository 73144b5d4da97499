"""Beliefs about members and the choice of a connection."""

from collections.abc import Callable
from functools import singledispatchmethod

from absl import logging
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
    open_nursery,
)

from jackdawspread.decisions.members.connection_limit import connection_limit
from jackdawspread.decisions.members.group_view import GroupView
from jackdawspread.decisions.members.group_views import adopt_listing, observe
from jackdawspread.decisions.members.member_choice import choose_member
from jackdawspread.decisions.members.read_targets import (
    fresh_candidates,
    lease_terms,
    usable_primary,
)
from jackdawspread.decisions.succession.suspect import suspect_primary
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.connection_closed import ConnectionClosed
from jackdawspread.messages.fleet.connection_need import ConnectionNeed
from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.instances_seen import InstancesSeen
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_observation import MemberObservation
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.primary_suspected import PrimarySuspected
from jackdawspread.messages.fleet.refresh_members import RefreshMembers
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.fleet.suspicion_cleared import SuspicionCleared
from jackdawspread.tasks.members.connection_pools import ConnectionPools, refuse
from jackdawspread.tasks.members.member_codec import MemberCodec
from jackdawspread.tasks.members.member_pool import MemberPool
from jackdawspread.tasks.members.pooled_connection import PooledConnection

# Waiting requests are looked at again this often.
TICK_S = 0.05
# The same doubt is reported again after this time.
SUSPICION_REPEAT_S = 0.3


class MemberRouter:
    """Owns the views of all groups and the pools of member connections.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    drain_s : float
        Time after which a leaving member may get nothing new.
    make_codec : callable
        Returns a codec for a new member connection.
    inbox, router : trio channels
        Both ends of the router's inbox.
    succession : trio.MemorySendChannel
        Takes doubts about primaries.
    refresh : trio.MemorySendChannel
        Takes wishes for a newer list of members.
    """

    def __init__(
        self,
        failure_domain: str,
        drain_s: float,
        make_codec: Callable[[], MemberCodec],
        inbox: MemoryReceiveChannel[RouterEvent],
        router: MemorySendChannel[RouterEvent],
        succession: MemorySendChannel[PrimarySuspected],
        refresh: MemorySendChannel[RefreshMembers],
    ) -> None:
        self._failure_domain = failure_domain
        self._drain_s = drain_s
        self._make_codec = make_codec
        self._inbox = inbox
        self._router = router
        self._succession = succession
        self._refresh = refresh
        self._view_by_group: dict[str, GroupView] = {}
        self._group_by_name: dict[str, MemberGroup] = {}
        self._waiting_by_group: dict[str, list[ConnectionRequest]] = {}
        self._suspected_at_by_group: dict[str, float] = {}
        self._instances = 1
        self._pools: ConnectionPools

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as connections:
            self._pools = ConnectionPools(
                connections, self._make_codec, self._router, self._grant
            )
            while True:
                waiting = self._pools.has_waiting or any(
                    self._waiting_by_group.values()
                )
                wake_at = current_time() + TICK_S if waiting else float("inf")
                with move_on_at(wake_at):
                    self._handle(await self._inbox.receive(), current_time())
                self._tick(current_time())

    def _tick(self, now: float) -> None:
        self._pools.expire(now)
        for group, waiting in self._waiting_by_group.items():
            if waiting:
                self._waiting_by_group[group] = []
                for request in waiting:
                    self._place_or_wait(request, now)
                self._report_doubt(group, now)

    @singledispatchmethod
    def _handle(self, event: object, now: float) -> None:
        raise TypeError(f"the router does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: ConnectionRequest, now: float) -> None:
        self._place_or_wait(event, now)

    @_handle.register
    def _(self, event: LeaseReturned, now: float) -> None:
        self._pools.returned(event, now)

    @_handle.register
    def _(self, event: ConnectionOpened, now: float) -> None:
        error = self._pools.opened(event, now)
        if error and error != "toomany":
            group = self._group_of(event.member)
            self._observe(
                MemberUnreachable(group, event.member, now, False, error), now
            )

    @_handle.register
    def _(self, event: ConnectionClosed, now: float) -> None:
        self._pools.closed(event, now)

    @_handle.register(PositionSeen)
    @_handle.register(LeadershipRefused)
    @_handle.register(ReplicaLagged)
    @_handle.register(MemberUnreachable)
    @_handle.register(SuspicionCleared)
    def _(self, event: MemberObservation, now: float) -> None:
        self._observe(event, now)

    @_handle.register
    def _(self, event: MembersSeen, now: float) -> None:
        self._pools.adopt(event.listing_by_id, now)
        groups = {listing.group for listing in event.listing_by_id.values()}
        for group in groups | self._view_by_group.keys():
            listings = {
                id: listing
                for id, listing in event.listing_by_id.items()
                if listing.group == group
            }
            before = self._view_by_group.get(group, GroupView())
            view = adopt_listing(before, listings, event.as_of)
            self._log_primary(group, before, view, "list")
            self._view_by_group[group] = view
            self._report_doubt(group, now)
        self._set_limits()

    @_handle.register
    def _(self, event: ConfigurationSeen, now: float) -> None:
        if event.configuration is not None:
            self._group_by_name = event.configuration.group_by_name
            self._set_limits()

    @_handle.register
    def _(self, event: InstancesSeen, now: float) -> None:
        if event.instances != self._instances:
            logging.info("router: instances changed count=%d", event.instances)
            self._instances = event.instances
            self._set_limits()

    def _observe(self, event: MemberObservation, now: float) -> None:
        before = self._view_by_group.get(event.group, GroupView())
        view = observe(event, before)
        self._view_by_group[event.group] = view
        self._log_primary(event.group, before, view, type(event).__name__)
        if isinstance(event, MemberUnreachable) and not event.stalled_write:
            logging.info(
                "router: member unreachable member=%s group=%s reason=%r",
                event.member,
                event.group,
                event.reason,
            )
            self._pools.drop_idle(event.member)
        if isinstance(event, LeadershipRefused | MemberUnreachable):
            self._ask_refresh(type(event).__name__)
            self._report_doubt(event.group, now)

    def _place_or_wait(self, request: ConnectionRequest, now: float) -> None:
        if request.expires_at <= now:
            refuse(request, "busy", "no member of the group can serve this now")
            return
        member = self._choose(request, now)
        if member in self._pools.pool_by_member:
            self._pools.request(member, request, now)
        elif request.need is ConnectionNeed.NAMED:
            refuse(request, "unreachable", "the list names no such member", member)
        else:
            self._waiting_by_group.setdefault(request.group, []).append(request)
            self._ask_refresh("no primary")

    def _choose(self, request: ConnectionRequest, now: float) -> str:
        if request.need is ConnectionNeed.NAMED:
            return request.member
        view = self._view_by_group.get(request.group, GroupView())
        if request.need is ConnectionNeed.FRESH:
            candidates = fresh_candidates(
                view, request, self._pools.pool_by_member, self._failure_domain, now
            )
            chosen = choose_member(candidates)
            if chosen is not None:
                return chosen
        return usable_primary(view, now, self._drain_s)

    def _grant(
        self, request: ConnectionRequest, pool: MemberPool, connection: PooledConnection
    ) -> bool:
        now = current_time()
        group, member = pool.listing.group, pool.listing.id
        view = self._view_by_group.get(group, GroupView())
        terms = lease_terms(view, request, member, now)
        if terms is None:
            refuse(request, "lagging", "no recent position of the primary", member)
            return False
        lease = MemberLease(
            connection.id,
            member,
            group,
            connection.exchanges,
            connection.context,
            terms.as_primary,
            terms.after,
            terms.evidence_age_s,
        )
        try:
            request.reply_to.send_nowait(lease)
        except BrokenResourceError:
            logging.vlog(1, "router: the request for a connection is gone")
            return False
        return True

    def _group_of(self, member: str) -> str:
        pool = self._pools.pool_by_member.get(member)
        return pool.listing.group if pool is not None else ""

    def _set_limits(self) -> None:
        for member, pool in self._pools.pool_by_member.items():
            group = self._group_by_name.get(pool.listing.group)
            if group is not None:
                limit = connection_limit(group.max_connections, self._instances)
                self._pools.set_limit(member, limit)

    def _ask_refresh(self, reason: str) -> None:
        try:
            self._refresh.send_nowait(RefreshMembers(reason))
        except WouldBlock:
            # A refresh is already asked for.
            return

    def _report_doubt(self, group: str, now: float) -> None:
        doubt = suspect_primary(group, self._view_by_group.get(group), now)
        last = self._suspected_at_by_group.get(group, 0.0)
        if doubt is None or now - last < SUSPICION_REPEAT_S:
            return
        self._suspected_at_by_group[group] = now
        try:
            self._succession.send_nowait(doubt)
        except WouldBlock:
            logging.warning("router: doubt dropped group=%s", group)

    def _log_primary(
        self, group: str, before: GroupView, view: GroupView, source: str
    ) -> None:
        if before.primary != view.primary:
            logging.info(
                "router: primary changed group=%s from=%s to=%s source=%s members=%d",
                group,
                before.primary or "none",
                view.primary or "none",
                source,
                len(view.listing_by_id),
            )
