"""Choice of the pool hosts of a member group by the placement in use."""

from collections.abc import Mapping

from jackdawspread.decisions.placement.domain_hosts import choose_domain_hosts
from jackdawspread.decisions.pool_hosts.choose_pool_hosts import choose_pool_hosts
from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity
from jackdawspread.messages.fleet.instance_entry import InstanceEntry


def choose_placed_hosts(
    group: str,
    entry_by_instance: Mapping[str, InstanceEntry],
    capacity_by_instance: Mapping[str, InstanceCapacity],
    is_domain_aware: bool,
) -> tuple[str, ...]:
    """Return the ids of the pool hosts of a group.

    The lease broker and the member router both choose them, and must agree.
    """
    if not is_domain_aware:
        return choose_pool_hosts(group, entry_by_instance)
    return choose_domain_hosts(group, entry_by_instance, capacity_by_instance)
