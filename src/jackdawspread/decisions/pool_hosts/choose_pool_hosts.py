"""Choice of the pool hosts of a member group by rendezvous hashing."""

from collections.abc import Iterable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from jackdawspread.messages.fleet.instance_entry import InstanceEntry

# More hosts divide the member connections into parts too small to be reused; fewer
# make one process the bottleneck of a group.
POOL_HOSTS_PER_GROUP = 4
# In a smaller fleet every instance has enough connections of its own.
MIN_FLEET_WITH_POOL_HOSTS = 2 * POOL_HOSTS_PER_GROUP


def choose_pool_hosts(
    group: str, entry_by_instance: Mapping[str, InstanceEntry]
) -> tuple[str, ...]:
    """Return the ids of the pool hosts of a member group, in all failure domains.

    Instances with different lists may choose different hosts. This costs additional
    connections; the members bound their number.
    """
    if len(entry_by_instance) < MIN_FLEET_WITH_POOL_HOSTS:
        return ()
    ranked = _rank(group, tuple(entry_by_instance))
    first_by_domain: dict[str, str] = {}
    for instance in ranked:
        domain = entry_by_instance[instance].failure_domain
        first_by_domain.setdefault(domain, instance)
    spread = list(first_by_domain.values())
    others = [instance for instance in ranked if instance not in spread]
    return tuple((spread + others)[:POOL_HOSTS_PER_GROUP])


def groups_hosted_by(
    instance: str,
    groups: Iterable[str],
    entry_by_instance: Mapping[str, InstanceEntry],
) -> frozenset[str] | None:
    """Return the groups of which an instance is a pool host.

    None if the fleet has no pool hosts.
    """
    if len(entry_by_instance) < MIN_FLEET_WITH_POOL_HOSTS:
        return None
    return frozenset(
        group
        for group in groups
        if instance in choose_pool_hosts(group, entry_by_instance)
    )


def rank_pool_hosts(workspace: str, hosts: Sequence[str]) -> tuple[str, ...]:
    """Return the hosts in the order in which a workspace uses them.

    All instances use the same order, so that they share the connections.
    """
    return _rank(workspace, hosts)


def _rank(key: str, instances: Sequence[str]) -> tuple[str, ...]:
    def weight(instance: str) -> tuple[int, str]:
        return xxh3_64_intdigest(f"{key}\n{instance}".encode()), instance

    return tuple(sorted(instances, key=weight, reverse=True))
