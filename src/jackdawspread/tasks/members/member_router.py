"""Chooses a member for each request and leases it a connection."""

from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from absl import logging
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    current_time,
    move_on_at,
    open_nursery,
)

from jackdawspread.decisions.members.cold_members import is_cold
from jackdawspread.decisions.members.eligible_members import (
    lease_conditions,
    usable_primary,
)
from jackdawspread.decisions.members.reachable_member import reachable_member
from jackdawspread.decisions.members.routing_refusal import (
    DETAIL_BY_REASON,
    is_region_allowed,
    routing_refusal,
)
from jackdawspread.messages.fleet.asked_instances_query import AskedInstancesQuery
from jackdawspread.messages.fleet.capacities_seen import CapacitiesSeen
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.connection_closed import ConnectionClosed
from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.evacuations_seen import EvacuationsSeen
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_busy import MemberBusy
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_observation import MemberObservation
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.placement_changed import PlacementChanged
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.primary_position_requested import (
    PrimaryPositionRequested,
)
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.reachable_member_query import ReachableMemberQuery
from jackdawspread.messages.fleet.refresh_members import RefreshMembers
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.members.connection_pools import ConnectionPools
from jackdawspread.tasks.members.evacuation_schedule import EvacuationSchedule
from jackdawspread.tasks.members.group_monitor import GroupMonitor
from jackdawspread.tasks.members.member_codec import MemberCodec
from jackdawspread.tasks.members.member_limits import MemberLimits
from jackdawspread.tasks.members.member_pool import MemberPool
from jackdawspread.tasks.members.pooled_connection import PooledConnection
from jackdawspread.tasks.members.position_exchange import PositionExchange
from jackdawspread.tasks.members.read_routing import ReadRouting
from jackdawspread.tasks.members.refusal_log import RefusalLog
from jackdawspread.tasks.members.refuse_request import refuse

# Requests that wait for a member are retried this often.
RETRY_WAITING_INTERVAL_S = 0.05
# Operators change evacuations and regions seldom, so that an earlier retry is useless.
REFUSED_RETRY_MS = 1000


class MemberRouter:
    """Owns the state of all member groups and the pools of member connections.

    Parameters
    ----------
    instance, failure_domain : str
        Id and failure domain of this instance.
    region_by_domain : mapping
        Region of each failure domain.
    drain_s : float
        Time in seconds after which a leaving member gets no new work.
    make_codec : callable
        Returns a codec for a new member connection.
    inbox, router : trio channels
        The two ends of the router's inbox.
    failover : trio.MemorySendChannel
        Receives failover triggers.
    refresh : trio.MemorySendChannel
        Receives requests for a newer list of members.
    broker : trio.MemorySendChannel
        Receives the failure domains of the primaries.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    admits_by_priority : bool
        Whether statements compete for members by the priority of their routes.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        region_by_domain: Mapping[str, str],
        drain_s: float,
        make_codec: Callable[[], MemberCodec],
        inbox: MemoryReceiveChannel[RouterEvent],
        router: MemorySendChannel[RouterEvent],
        failover: MemorySendChannel[FailoverTrigger],
        refresh: MemorySendChannel[RefreshMembers],
        broker: MemorySendChannel[LeaseBrokerEvent],
        peers: MemorySendChannel[PeerEvent],
        admits_by_priority: bool = False,
    ) -> None:
        self._region_by_domain = region_by_domain
        self._drain_s = drain_s
        self._make_codec = make_codec
        self._inbox = inbox
        self._router = router
        self._admits_by_priority = admits_by_priority
        self._group_monitor = GroupMonitor(failover, refresh, broker)
        self._waiting_by_group: dict[str, list[ConnectionRequest]] = {}
        self._limits = MemberLimits(instance, failure_domain)
        self._reads = ReadRouting(
            failure_domain,
            region_by_domain,
            self._group_monitor,
            self._limits,
            PositionExchange(peers),
        )
        self._evacuations = EvacuationSchedule()
        self._refusals = RefusalLog()
        self._pools: ConnectionPools

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as connections:
            self._pools = ConnectionPools(
                connections,
                self._make_codec,
                self._router,
                self._offer_lease,
                self._admits_by_priority,
            )
            while True:
                waiting = self._pools.has_waiting or any(
                    self._waiting_by_group.values()
                )
                wake_at = (
                    current_time() + RETRY_WAITING_INTERVAL_S
                    if waiting
                    else float("inf")
                )
                with move_on_at(min(wake_at, self._evacuations.next_cut_at)):
                    self._handle(await self._inbox.receive(), current_time())
                self._cut_off_evacuated(current_time())
                self._retry_waiting(current_time())

    def _cut_off_evacuated(self, now: float) -> None:
        due = self._evacuations.take_due(now)
        if due:
            logging.info(
                "router: members cut off failure_domains=%s reason=evacuated",
                ",".join(sorted(due)),
            )
            self._pools.cut_off(due)
            self._apply_limits()

    def _retry_waiting(self, now: float) -> None:
        self._pools.refuse_expired(now)
        for group, waiting in self._waiting_by_group.items():
            if waiting:
                self._waiting_by_group[group] = []
                for request in waiting:
                    self._assign_or_queue(request, now)
                self._group_monitor.report_failover_trigger(group, now)

    @singledispatchmethod
    def _handle(self, event: object, now: float) -> None:
        raise TypeError(f"the router does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: ConnectionRequest, now: float) -> None:
        self._assign_or_queue(event, now)

    @_handle.register
    def _(self, event: LeaseReturned, now: float) -> None:
        self._pools.handle_returned(event, now)

    @_handle.register
    def _(self, event: ConnectionOpened, now: float) -> None:
        error = self._pools.handle_opened(event, now)
        if error and error != "toomany":
            group = self._group_of(event.member)
            self._handle_observation(
                MemberUnreachable(group, event.member, now, False, error), now
            )

    @_handle.register
    def _(self, event: ConnectionClosed, now: float) -> None:
        self._pools.handle_closed(event, now)

    @_handle.register
    def _(self, event: MemberBusy, now: float) -> None:
        self._pools.handle_busy(event.member, now)

    @_handle.register(PositionSeen)
    @_handle.register(LeadershipRefused)
    @_handle.register(ReplicaLagged)
    @_handle.register(MemberUnreachable)
    @_handle.register(PrimaryResponded)
    def _(self, event: MemberObservation, now: float) -> None:
        self._handle_observation(event, now)

    @_handle.register
    def _(self, event: MembersSeen, now: float) -> None:
        self._pools.update_members(event.listing_by_id, now)
        self._group_monitor.update_members(event, now)
        self._apply_limits()

    @_handle.register
    def _(self, event: ConfigurationSeen, now: float) -> None:
        if event.configuration is not None:
            self._limits.set_groups(event.configuration.group_by_name)
            self._group_monitor.update_groups(event.configuration.group_by_name)
            self._apply_hosts()

    @_handle.register
    def _(self, event: EvacuationsSeen, now: float) -> None:
        self._evacuations.update(event, now, seconds_since_boot())
        self._group_monitor.update_evacuations(
            self._evacuations.work_until_by_domain, now
        )
        self._refusals = RefusalLog()

    @_handle.register
    def _(self, event: PeersSeen, now: float) -> None:
        if self._limits.set_instances(event.entry_by_instance):
            instances = len(event.entry_by_instance)
            logging.info("router: instances changed count=%d", instances)
            self._apply_hosts()

    @_handle.register
    def _(self, event: CapacitiesSeen, now: float) -> None:
        self._limits.set_capacities(event.capacity_by_instance)
        self._apply_hosts()

    @_handle.register
    def _(self, event: PlacementChanged, now: float) -> None:
        self._reads.update_placement(event)
        self._apply_hosts()

    @_handle.register
    def _(self, event: PrimaryPositionRequested, now: float) -> None:
        self._reads.answer_position(event)

    @_handle.register
    def _(self, event: PrimaryPositionReply, now: float) -> None:
        self._reads.add_position(event)

    @_handle.register
    def _(self, event: AskedInstancesQuery, now: float) -> None:
        event.reply_to.send_nowait(self._limits.asked_addresses(event.group))

    @_handle.register
    def _(self, event: ReachableMemberQuery, now: float) -> None:
        state = self._group_monitor.state(event.group)
        event.reply_to.send_nowait(reachable_member(state, event.member))

    def _handle_observation(self, event: MemberObservation, now: float) -> None:
        self._group_monitor.handle_observation(event, now)
        if isinstance(event, MemberUnreachable) and not event.write_timed_out:
            self._pools.drop_idle(event.member)

    def _assign_or_queue(self, request: ConnectionRequest, now: float) -> None:
        if request.expires_at <= now:
            refuse(request, "busy", "no member of the group can serve this now")
            return
        if code := self._refusal_code(request, now):
            refuse(request, code, "served in another failure domain")
            return
        member = self._choose(request, now)
        if request.unlisted is not None and member not in self._pools.pool_by_member:
            self._pools.add_unlisted(request.unlisted)
        if member in self._pools.pool_by_member:
            self._pools.request(member, request, now)
        elif request.requirement is MemberRequirement.NAMED:
            refuse(request, "unreachable", "no such member is listed", member)
        elif not self._refuse_unservable(request, now):
            self._waiting_by_group.setdefault(request.group, []).append(request)
            self._group_monitor.request_refresh("no primary")

    def _refusal_code(self, request: ConnectionRequest, now: float) -> str:
        if request.requirement is not MemberRequirement.FRESH:
            return ""
        return self._reads.refusal_code(request, self._pools.pool_by_member, now)

    def _refuse_unservable(self, request: ConnectionRequest, now: float) -> bool:
        """Refuse a request that no wait can help; return whether it was refused."""
        state = self._group_monitor.state(request.group)
        reason = routing_refusal(state, request, self._region_by_domain, now)
        if reason is None:
            return False
        self._refusals.report(reason, request)
        refuse(request, "busy", DETAIL_BY_REASON[reason], "", REFUSED_RETRY_MS)
        return True

    def _choose(self, request: ConnectionRequest, now: float) -> str:
        if request.requirement is MemberRequirement.NAMED:
            return request.member
        if request.requirement is MemberRequirement.FRESH:
            chosen = self._reads.choose(request, self._pools.pool_by_member, now)
            if chosen is not None:
                return chosen
        state = self._group_monitor.state(request.group)
        member = usable_primary(state, now, self._drain_s)
        listing = state.listing_by_id.get(member)
        if listing is not None and not is_region_allowed(
            request, listing.failure_domain, self._region_by_domain
        ):
            return ""
        return member

    def _offer_lease(
        self, request: ConnectionRequest, pool: MemberPool, connection: PooledConnection
    ) -> bool:
        group, member = pool.listing.group, pool.listing.id
        state = self._group_monitor.state(group)
        conditions = lease_conditions(state, request, member, seconds_since_boot())
        if conditions is None:
            refuse(request, "lagging", "no recent position of the primary", member)
            return False
        lease = MemberLease(
            connection.id,
            member,
            group,
            connection.exchanges,
            connection.context,
            conditions.requires_primary,
            conditions.required_position,
            conditions.position_age_s,
            is_cold=is_cold(state, self._limits.group(group), member, current_time()),
        )
        try:
            request.reply_to.send_nowait(lease)
        except BrokenResourceError:
            logging.vlog(1, "router: the request for a connection was cancelled")
            return False
        return True

    def _group_of(self, member: str) -> str:
        pool = self._pools.pool_by_member.get(member)
        return pool.listing.group if pool is not None else ""

    def _apply_hosts(self) -> None:
        """Use the pool hosts that were chosen anew."""
        self._group_monitor.set_own_groups(self._limits.hosted_groups())
        self._apply_limits()

    def _apply_limits(self) -> None:
        for member, pool in self._pools.pool_by_member.items():
            limits = self._limits.limits(pool.listing)
            if limits is not None:
                self._pools.set_limits(member, limits)
