"""Decides which instance leases a member connection."""

from collections.abc import Mapping
from functools import singledispatchmethod

from absl import logging
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    WouldBlock,
    current_time,
    open_nursery,
)

from jackdawspread.decisions.members.routing_refusal import is_region_allowed
from jackdawspread.messages.fleet.capacities_seen import CapacitiesSeen
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.crossing_measured import CrossingMeasured
from jackdawspread.messages.pool_hosts.crossing_unmeasured import CrossingUnmeasured
from jackdawspread.messages.pool_hosts.host_link_closed import HostLinkClosed
from jackdawspread.messages.pool_hosts.host_link_event import HostLinkEvent
from jackdawspread.messages.pool_hosts.host_link_opened import HostLinkOpened
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.pool_hosts.primary_moved import PrimaryMoved
from jackdawspread.tasks.fleet.fleet_metrics import CROSSING_LEASES, MEMBER_LEASES
from jackdawspread.tasks.pool_hosts.crossing_probe import CrossingProbe
from jackdawspread.tasks.pool_hosts.host_placement import HostPlacement
from jackdawspread.tasks.pool_hosts.lease_here import lease_here
from jackdawspread.tasks.pool_hosts.pool_host_link import PoolHostLink
from jackdawspread.tasks.run_isolated import run_isolated

# A measurement of a delay that no instance answered is repeated after this time.
PROBE_RETRY_DELAY_S = 1.0


class LeaseBroker:
    """Forwards requests for member connections to pool hosts or to this instance.

    A request never waits for a stream to open: until one is open, the next host of the
    group or this instance serves the request.

    Parameters
    ----------
    instance : str
        Id of this instance.
    region_by_domain : mapping
        Region of each failure domain.
    placement : HostPlacement
        Chooses the pool hosts.
    inbox, broker : trio channels
        The two ends of the broker's inbox.
    router : trio.MemorySendChannel
        Inbox of this instance's member router.
    """

    def __init__(
        self,
        instance: str,
        region_by_domain: Mapping[str, str],
        placement: HostPlacement,
        inbox: MemoryReceiveChannel[LeaseBrokerEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._instance = instance
        self._region_by_domain = region_by_domain
        self._placement = placement
        self._inbox = inbox
        self._broker = broker
        self._router = router
        self._link_by_host: dict[str, MemorySendChannel[HostLinkEvent]] = {}
        # Monotonic time from which a new stream may be opened; infinite while one is
        # being opened or is open.
        self._open_at_by_host: dict[str, float] = {}
        self._domains_in_measurement: set[str] = set()

    async def run(self) -> None:
        """Forward requests until cancelled."""
        async with open_nursery() as links:
            async for event in self._inbox:
                self._handle(event, links)

    @singledispatchmethod
    def _handle(self, event: object, links: Nursery) -> None:
        raise TypeError(f"the lease broker does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: PeersSeen, links: Nursery) -> None:
        self._placement.update_instances(event.entry_by_instance)
        for domain in self._placement.probed_addresses_by_domain():
            if domain not in self._domains_in_measurement:
                self._start_probe(domain, 0.0, links)

    @_handle.register
    def _(self, event: CapacitiesSeen, links: Nursery) -> None:
        self._placement.update_capacities(event)

    @_handle.register
    def _(self, event: CrossingMeasured, links: Nursery) -> None:
        self._domains_in_measurement.discard(event.failure_domain)
        self._placement.update_delay(event)

    @_handle.register
    def _(self, event: CrossingUnmeasured, links: Nursery) -> None:
        logging.info("broker: delay unknown failure_domain=%s", event.failure_domain)
        self._domains_in_measurement.discard(event.failure_domain)
        self._start_probe(event.failure_domain, PROBE_RETRY_DELAY_S, links)

    @_handle.register
    def _(self, event: PrimaryMoved, links: Nursery) -> None:
        self._placement.update_primary(event)

    @_handle.register
    def _(self, event: HostLinkOpened, links: Nursery) -> None:
        logging.info("broker: stream opened host=%s", event.instance)
        self._link_by_host[event.instance] = event.link

    @_handle.register
    def _(self, event: HostLinkClosed, links: Nursery) -> None:
        logging.info(
            "broker: stream closed host=%s reason=%r", event.instance, event.reason
        )
        self._link_by_host.pop(event.instance, None)
        self._open_at_by_host[event.instance] = current_time() + event.retry_after_s

    @_handle.register
    def _(self, event: ConnectionRequest, links: Nursery) -> None:
        request = self._placement.prepare(event)
        for host in self._placement.hosts_in_order(request):
            if host == self._instance:
                MEMBER_LEASES.labels("local").inc()
                lease_here(request, self._router)
                return
            domain = self._placement.entry_by_instance[host].failure_domain
            if not is_region_allowed(event, domain, self._region_by_domain):
                # The text of the statement must not be sent to another region.
                continue
            link = self._link_by_host.get(host)
            if link is None:
                self._open_link(host, links)
            elif _forward(request, link):
                MEMBER_LEASES.labels("host").inc()
                leaves = self._placement.leaves_domain(host)
                CROSSING_LEASES.labels("other" if leaves else "own").inc()
                return
        MEMBER_LEASES.labels("local").inc()
        # Without a host this instance serves the request wherever a member is.
        lease_here(request._replace(caller_domain=""), self._router)

    def _start_probe(self, domain: str, delay_s: float, links: Nursery) -> None:
        addresses = self._placement.probed_addresses_by_domain().get(domain)
        if addresses is None:
            return
        self._domains_in_measurement.add(domain)
        probe = CrossingProbe(domain, addresses, self._broker, delay_s)
        links.start_soon(run_isolated, "broker", probe.run)

    def _open_link(self, host: str, links: Nursery) -> None:
        now = current_time()
        if self._open_at_by_host.get(host, now) > now:
            return
        self._open_at_by_host[host] = float("inf")
        link = PoolHostLink(
            host,
            self._placement.entry_by_instance[host].address,
            self._broker,
            self._router,
            self._placement.leaves_domain(host),
        )
        links.start_soon(run_isolated, "broker", link.run)


def _forward(
    request: ConnectionRequest, link: MemorySendChannel[HostLinkEvent]
) -> bool:
    """Send a request to a pool host; return whether its stream has accepted it."""
    try:
        link.send_nowait(request)
    except (BrokenResourceError, WouldBlock):
        return False
    return True
