"""Choice of the pool hosts of a member group in each failure domain."""

from collections.abc import Mapping, Sequence
from math import log

from xxhash import xxh3_64_intdigest

from jackdawspread.decisions.placement.relative_capacity import (
    relative_capacity_by_instance,
)
from jackdawspread.decisions.pool_hosts.choose_pool_hosts import (
    MIN_FLEET_WITH_POOL_HOSTS,
    rank_pool_hosts,
)
from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity
from jackdawspread.messages.fleet.instance_entry import InstanceEntry

# With a second host in its failure domain, an instance need not leave the domain while
# the first one restarts.
HOSTS_PER_DOMAIN = 2
# Machines below this fraction of the largest one of their failure domain are hosts
# only if there are too few larger ones.
LARGE_FRACTION = 0.5
HASH_VALUES = 2**64


def choose_domain_hosts(
    group: str,
    entry_by_instance: Mapping[str, InstanceEntry],
    capacity_by_instance: Mapping[str, InstanceCapacity],
) -> tuple[str, ...]:
    """Return the ids of the pool hosts of a group, some in each failure domain."""
    if len(entry_by_instance) < MIN_FLEET_WITH_POOL_HOSTS:
        return ()
    relative_by_instance = relative_capacity_by_instance(
        entry_by_instance, capacity_by_instance
    )
    instances_by_domain: dict[str, list[str]] = {}
    for instance, entry in sorted(entry_by_instance.items()):
        instances_by_domain.setdefault(entry.failure_domain, []).append(instance)
    return tuple(
        host
        for _, instances in sorted(instances_by_domain.items())
        for host in _choose(group, instances, relative_by_instance)
    )


def order_hosts(
    workspace: str,
    hosts: Sequence[str],
    entry_by_instance: Mapping[str, InstanceEntry],
    domains: Sequence[str],
) -> tuple[str, ...]:
    """Return the hosts of some failure domains in the order in which to use them.

    Parameters
    ----------
    workspace : str
        Workspace of the statement; all instances of a domain use the same order for
        it, so that they share the connections.
    hosts : sequence of str
        Pool hosts of the group.
    entry_by_instance : mapping
        List of the instances.
    domains : sequence of str
        Failure domains, the preferred one first.
    """
    ranked = rank_pool_hosts(workspace, hosts)
    return tuple(
        host
        for domain in domains
        for host in ranked
        if entry_by_instance[host].failure_domain == domain
    )


def _choose(
    group: str, instances: Sequence[str], relative_by_instance: Mapping[str, float]
) -> list[str]:
    """Choose among the large machines by weighted rendezvous hashing."""
    largest = max(relative_by_instance[instance] for instance in instances)

    def is_large(instance: str) -> bool:
        return relative_by_instance[instance] >= LARGE_FRACTION * largest

    def weight(instance: str) -> float:
        digest = xxh3_64_intdigest(f"{group}\n{instance}".encode())
        return -relative_by_instance[instance] / log((digest + 1) / (HASH_VALUES + 1))

    ranked = sorted(
        instances, key=lambda id: (is_large(id), weight(id), id), reverse=True
    )
    return ranked[:HOSTS_PER_DOMAIN]
