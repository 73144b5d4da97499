"""Compares the machines of the instances."""

from collections.abc import Iterable, Mapping

from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity


def relative_capacity_by_instance(
    instances: Iterable[str], capacity_by_instance: Mapping[str, InstanceCapacity]
) -> dict[str, float]:
    """Return the capacity of each instance as a fraction of the largest one.

    The scarcest resource of a machine counts. An instance that has not published its
    capacity counts as the smallest one of the others.
    """
    if not capacity_by_instance:
        return dict.fromkeys(instances, 1.0)
    known = capacity_by_instance.values()
    largest = InstanceCapacity(
        max(capacity.cores for capacity in known),
        max(capacity.memory_bytes for capacity in known),
        max(capacity.link_bytes_per_s for capacity in known),
    )
    relative = {
        instance: min(
            capacity.cores / largest.cores,
            capacity.memory_bytes / largest.memory_bytes,
            capacity.link_bytes_per_s / largest.link_bytes_per_s,
        )
        for instance, capacity in capacity_by_instance.items()
    }
    smallest = min(relative.values())
    return {instance: relative.get(instance, smallest) for instance in instances}
