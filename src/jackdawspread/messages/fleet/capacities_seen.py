"""Capacities of the instances as they were last read."""

from typing import NamedTuple

from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity


class CapacitiesSeen(NamedTuple):
    """Reports the capacities that the instances have published, by their ids."""

    capacity_by_instance: dict[str, InstanceCapacity]
