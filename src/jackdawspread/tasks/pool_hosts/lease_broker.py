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

from jackdawspread.decisions.pool_hosts.choose_pool_hosts import (
    choose_pool_hosts,
    rank_pool_hosts,
)
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.host_link_closed import HostLinkClosed
from jackdawspread.messages.pool_hosts.host_link_event import HostLinkEvent
from jackdawspread.messages.pool_hosts.host_link_opened import HostLinkOpened
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.tasks.fleet.fleet_metrics import MEMBER_LEASES
from jackdawspread.tasks.pool_hosts.lease_here import lease_here
from jackdawspread.tasks.pool_hosts.pool_host_link import PoolHostLink
from jackdawspread.tasks.run_isolated import run_isolated


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
    inbox, broker : trio channels
        The two ends of the broker's inbox.
    router : trio.MemorySendChannel
        Inbox of this instance's member router.
    """

    def __init__(
        self,
        instance: str,
        region_by_domain: Mapping[str, str],
        inbox: MemoryReceiveChannel[LeaseBrokerEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._instance = instance
        self._region_by_domain = region_by_domain
        self._inbox = inbox
        self._broker = broker
        self._router = router
        self._entry_by_instance: dict[str, InstanceEntry] = {}
        self._hosts_by_group: dict[str, tuple[str, ...]] = {}
        self._link_by_host: dict[str, MemorySendChannel[HostLinkEvent]] = {}
        # Monotonic time from which a new stream may be opened; infinite while one is
        # being opened or is open.
        self._open_at_by_host: dict[str, float] = {}

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
        self._entry_by_instance = event.entry_by_instance
        self._hosts_by_group = {}

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
        for host in rank_pool_hosts(event.workspace, self._hosts(event.group)):
            if host == self._instance:
                break
            if not self._is_allowed(event, host):
                continue
            link = self._link_by_host.get(host)
            if link is None:
                self._open_link(host, links)
            elif _forward(event, link):
                MEMBER_LEASES.labels("host").inc()
                return
        MEMBER_LEASES.labels("local").inc()
        lease_here(event, self._router)

    def _is_allowed(self, request: ConnectionRequest, host: str) -> bool:
        """Whether statements of a request may be sent to the region of a host."""
        if not request.allowed_regions:
            return True
        domain = self._entry_by_instance[host].failure_domain
        return self._region_by_domain.get(domain) in request.allowed_regions

    def _hosts(self, group: str) -> tuple[str, ...]:
        hosts = self._hosts_by_group.get(group)
        if hosts is None:
            hosts = choose_pool_hosts(group, self._entry_by_instance)
            self._hosts_by_group[group] = hosts
            if hosts:
                logging.info("broker: hosts group=%s hosts=%s", group, ",".join(hosts))
        return hosts

    def _open_link(self, host: str, links: Nursery) -> None:
        now = current_time()
        if self._open_at_by_host.get(host, now) > now:
            return
        self._open_at_by_host[host] = float("inf")
        link = PoolHostLink(
            host, self._entry_by_instance[host].address, self._broker, self._router
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
