"""Pool hosts of the groups, and the connection limits that follow from them."""

from jackdawspread.decisions.failover.asked_instances import choose_asked_instances
from jackdawspread.decisions.members.connection_limits import (
    ConnectionLimits,
    connection_limits,
    pool_host_limits,
)
from jackdawspread.decisions.placement.domain_host_limits import domain_host_limits
from jackdawspread.decisions.placement.placed_hosts import choose_placed_hosts
from jackdawspread.decisions.pool_hosts.choose_pool_hosts import (
    MIN_FLEET_WITH_POOL_HOSTS,
)
from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.member_listing import MemberListing


class MemberLimits:
    """Knows the pool hosts of all groups; only the member router uses this object.

    Parameters
    ----------
    instance, failure_domain : str
        Id and failure domain of this instance.
    """

    def __init__(self, instance: str, failure_domain: str) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._group_by_name: dict[str, MemberGroup] = {}
        self._entry_by_instance: dict[str, InstanceEntry] = {}
        self._capacity_by_instance: dict[str, InstanceCapacity] = {}
        self._hosts_by_group: dict[str, tuple[str, ...]] = {}
        self._is_domain_aware = False

    def set_groups(self, group_by_name: dict[str, MemberGroup]) -> None:
        """Use the groups of a configuration."""
        self._group_by_name = group_by_name
        self._choose_hosts()

    def set_instances(self, entry_by_instance: dict[str, InstanceEntry]) -> bool:
        """Use a list of the instances; return whether it has changed."""
        if entry_by_instance == self._entry_by_instance:
            return False
        self._entry_by_instance = entry_by_instance
        self._choose_hosts()
        return True

    def set_capacities(self, capacity_by_instance: dict[str, InstanceCapacity]) -> None:
        """Use the capacities of the instances."""
        self._capacity_by_instance = capacity_by_instance
        self._choose_hosts()

    def set_placement(self, is_domain_aware: bool) -> None:
        """Set whether each failure domain has pool hosts of its own."""
        self._is_domain_aware = is_domain_aware
        self._choose_hosts()

    def group(self, name: str) -> MemberGroup | None:
        """Return the settings of a group, None if it is not configured."""
        return self._group_by_name.get(name)

    def hosted_groups(self) -> frozenset[str] | None:
        """Return the groups of which this instance is a pool host.

        None if the fleet has no pool hosts.
        """
        if len(self._entry_by_instance) < MIN_FLEET_WITH_POOL_HOSTS:
            return None
        return frozenset(
            group
            for group, hosts in self._hosts_by_group.items()
            if self._instance in hosts
        )

    def has_domain_hosts(self, group: str) -> bool:
        """Whether each failure domain has pool hosts of the group.

        A small fleet has none, whatever the delay between failure domains.
        """
        return self._is_domain_aware and bool(self._hosts_by_group.get(group))

    def near_hosts(self, group: str) -> int:
        """Return the number of a group's pool hosts in this failure domain."""
        return self._hosts_in(group, self._failure_domain)

    def host_addresses(self, group: str, failure_domain: str) -> tuple[str, ...]:
        """Return ``IP:port`` of a group's other pool hosts in a failure domain."""
        return tuple(
            self._entry_by_instance[host].address
            for host in self._hosts_by_group.get(group, ())
            if host != self._instance
            and self._entry_by_instance[host].failure_domain == failure_domain
        )

    def asked_addresses(self, group: str) -> tuple[str, ...]:
        """Return ``IP:port`` of the instances that are asked to demote a primary."""
        hosts = self._hosts_by_group.get(group, ())
        asked = choose_asked_instances(
            group, self._instance, hosts, self._entry_by_instance
        )
        return tuple(self._entry_by_instance[id].address for id in asked)

    def limits(self, listing: MemberListing) -> ConnectionLimits | None:
        """Return the limits for a member, None if its group is not configured."""
        group = self._group_by_name.get(listing.group)
        if group is None:
            return None
        instances = len(self._entry_by_instance)
        hosts = self._hosts_by_group[group.name]
        if instances and not hosts:
            return connection_limits(group.max_connections, instances)
        # An instance that does not know the others yet keeps no idle connection: a
        # fleet that restarts would occupy the members with them.
        is_host = self._instance in hosts
        if not self._is_domain_aware or not is_host:
            return pool_host_limits(group.max_connections, len(hosts), is_host)
        near = self._hosts_in(group.name, listing.failure_domain)
        is_near = listing.failure_domain == self._failure_domain
        return domain_host_limits(
            group.max_connections, near, len(hosts) - near, is_near
        )

    def _hosts_in(self, group: str, failure_domain: str) -> int:
        return sum(
            self._entry_by_instance[host].failure_domain == failure_domain
            for host in self._hosts_by_group.get(group, ())
        )

    def _choose_hosts(self) -> None:
        self._hosts_by_group = {
            group: choose_placed_hosts(
                group,
                self._entry_by_instance,
                self._capacity_by_instance,
                self._is_domain_aware,
            )
            for group in self._group_by_name
        }
