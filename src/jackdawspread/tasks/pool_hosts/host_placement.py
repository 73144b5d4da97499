"""Where the pool hosts of the groups are, and which one a request uses."""

from absl import logging
from trio import MemorySendChannel

from jackdawspread.decisions.placement.crossing_delays import (
    CrossingDelays,
    extra_delay_s_by_domain,
    record_delay,
)
from jackdawspread.decisions.placement.domain_hosts import order_hosts
from jackdawspread.decisions.placement.domain_order import order_domains
from jackdawspread.decisions.placement.placed_hosts import choose_placed_hosts
from jackdawspread.decisions.pool_hosts.choose_pool_hosts import rank_pool_hosts
from jackdawspread.messages.fleet.capacities_seen import CapacitiesSeen
from jackdawspread.messages.fleet.capacity_event import CapacityEvent
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.departure import Departure
from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.placement_changed import PlacementChanged
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.crossing_measured import CrossingMeasured
from jackdawspread.messages.pool_hosts.primary_moved import PrimaryMoved

# Instances of a failure domain that are tried until one answers probes.
PROBED_INSTANCES = 3


class HostPlacement:
    """Chooses and orders the pool hosts; belongs to the lease broker.

    Parameters
    ----------
    instance, failure_domain : str
        Id and failure domain of this instance.
    crossing_delay_limit_s : float
        Delay in seconds, one way, from which messages between failure domains are
        avoided.
    router : trio.MemorySendChannel
        Inbox of this instance's member router; receives changes of the placement.
    capacities : trio.MemorySendChannel
        Inbox of the capacity exchange; receives the same changes.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        crossing_delay_limit_s: float,
        router: MemorySendChannel[RouterEvent],
        capacities: MemorySendChannel[CapacityEvent],
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._limit_s = crossing_delay_limit_s
        self._router = router
        self._capacities = capacities
        self._capacity_by_instance: dict[str, InstanceCapacity] = {}
        self._delays = CrossingDelays()
        self._hosts_by_group: dict[str, tuple[str, ...]] = {}
        self._primary_domain_by_group: dict[str, str] = {}
        self.entry_by_instance: dict[str, InstanceEntry] = {}

    def update_instances(self, entry_by_instance: dict[str, InstanceEntry]) -> None:
        """Use a newer list of the instances."""
        self.entry_by_instance = entry_by_instance
        self._hosts_by_group = {}
        self._capacities.send_nowait(PeersSeen(entry_by_instance))

    def update_capacities(self, event: CapacitiesSeen) -> None:
        """Use newer capacities of the instances."""
        if event.capacity_by_instance != self._capacity_by_instance:
            self._capacity_by_instance = event.capacity_by_instance
            self._hosts_by_group = {}

    def update_primary(self, event: PrimaryMoved) -> None:
        """Store the failure domain of a group's primary."""
        self._primary_domain_by_group[event.group] = event.failure_domain

    def update_delay(self, event: CrossingMeasured) -> None:
        """Record a measured delay, which may change the placement."""
        was_expensive = self._delays.is_expensive
        self._delays = record_delay(
            self._delays,
            event.failure_domain,
            event.delay_s,
            self._failure_domain,
            self._limit_s,
        )
        logging.info(
            "broker: delay measured failure_domain=%s ms=%.1f limit_ms=%.1f",
            event.failure_domain,
            1000 * event.delay_s,
            1000 * self._limit_s,
        )
        if self._delays.is_expensive != was_expensive:
            logging.info("broker: placement changed domain_aware=%s", not was_expensive)
            self._hosts_by_group = {}
            changed = PlacementChanged(
                self._delays.is_expensive, self._nearest_delay_s()
            )
            self._router.send_nowait(changed)
            self._capacities.send_nowait(changed)

    def probed_addresses_by_domain(self) -> dict[str, tuple[str, ...]]:
        """Return the instances to which the delays are measured.

        Each instance measures to others, so that no instance answers all of them.
        """
        addresses_by_domain: dict[str, tuple[str, ...]] = {}
        for instance in rank_pool_hosts(self._instance, tuple(self.entry_by_instance)):
            entry = self.entry_by_instance[instance]
            known = addresses_by_domain.get(entry.failure_domain, ())
            if instance != self._instance and len(known) < PROBED_INSTANCES:
                addresses_by_domain[entry.failure_domain] = (*known, entry.address)
        return addresses_by_domain

    def hosts_in_order(self, request: ConnectionRequest) -> tuple[str, ...]:
        """Return the pool hosts that may serve a request, the best one first."""
        hosts = self._hosts(request.group)
        if not self._delays.is_expensive:
            return rank_pool_hosts(request.workspace, hosts)
        domains = order_domains(
            request,
            self._failure_domain,
            self._primary_domain_by_group.get(request.group, ""),
            {self.entry_by_instance[host].failure_domain for host in hosts},
            extra_delay_s_by_domain(self._delays, self._failure_domain),
            self._limit_s,
        )
        return order_hosts(request.workspace, hosts, self.entry_by_instance, domains)

    def prepare(self, request: ConnectionRequest) -> ConnectionRequest:
        """Return a request with the failure domain of its caller, where it matters."""
        asks = request.departure is not Departure.STAY
        if not asks or not self._delays.is_expensive:
            return request._replace(departure=Departure.STAY)
        return request._replace(caller_domain=self._failure_domain)

    def leaves_domain(self, host: str) -> bool:
        """Whether a pool host is in another failure domain."""
        return self.entry_by_instance[host].failure_domain != self._failure_domain

    def _nearest_delay_s(self) -> float:
        extra_s = extra_delay_s_by_domain(self._delays, self._failure_domain)
        return min(extra_s.values(), default=0.0)

    def _hosts(self, group: str) -> tuple[str, ...]:
        hosts = self._hosts_by_group.get(group)
        if hosts is None:
            hosts = choose_placed_hosts(
                group,
                self.entry_by_instance,
                self._capacity_by_instance,
                self._delays.is_expensive,
            )
            self._hosts_by_group[group] = hosts
            if hosts:
                logging.info("broker: hosts group=%s hosts=%s", group, ",".join(hosts))
        return hosts
