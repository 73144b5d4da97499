"""Choice of the instances that are asked to demote a primary."""

from collections import Counter
from collections.abc import Collection, Mapping

from jackdawspread.decisions.pool_hosts.choose_pool_hosts import rank_pool_hosts
from jackdawspread.messages.fleet.instance_entry import InstanceEntry

# Bounds the datagrams of one attempt, and the connections to a failed primary.
MAX_ASKED_INSTANCES = 8


def choose_asked_instances(
    group: str,
    instance: str,
    hosts: Collection[str],
    entry_by_instance: Mapping[str, InstanceEntry],
) -> tuple[str, ...]:
    """Return the ids of the instances that ``instance`` asks.

    The pool hosts of the group come first, as other instances use their connections to
    the primary. Failure domains take turns, since a partition often separates whole
    domains.
    """
    ranked = rank_pool_hosts(group, tuple(entry_by_instance.keys() - {instance}))
    ordered = sorted(ranked, key=lambda id: id not in hosts)
    chosen_in_domain: Counter[str] = Counter()
    turn_by_instance: dict[str, int] = {}
    for id in ordered:
        domain = entry_by_instance[id].failure_domain
        turn_by_instance[id] = chosen_in_domain[domain]
        chosen_in_domain[domain] += 1

    def preference(id: str) -> tuple[bool, int]:
        return id not in hosts, turn_by_instance[id]

    return tuple(sorted(ordered, key=preference)[:MAX_ASKED_INSTANCES])
