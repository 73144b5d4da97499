"""Lagging list of instances."""

from collections import deque
from typing import NamedTuple

from jackdawspread.standins.platform.instance_document import InstanceDocument
from jackdawspread.standins.platform.instance_record import InstanceRecord

# An address that has refused connections for a minute is not checked any more.
FORGET_AFTER_CHECKS = 60
# Snapshots older than the longest lag are dropped.
LONGEST_LAG_S = 60.0


class InstanceList(NamedTuple):
    """Registrations, and what the list was after each change.

    Parameters
    ----------
    record_by_address : dict of str to InstanceRecord
        Registrations.
    snapshots : deque of tuple
        Monotonic seconds and the instances that answered, oldest first.
    """

    record_by_address: dict[str, InstanceRecord]
    snapshots: deque[tuple[float, tuple[InstanceDocument, ...]]]


def register(instances: InstanceList, instance: InstanceDocument, now: float) -> None:
    """Register an instance or change its state."""
    instances.record_by_address[instance["address"]] = InstanceRecord(instance)
    take_snapshot(instances, now)


def record_check(
    instances: InstanceList, address: str, answered: bool, now: float
) -> None:
    """Take over the outcome of a connect check."""
    record = instances.record_by_address.get(address)
    if record is None:
        return
    failed = 0 if answered else record.failed_checks + 1
    if failed >= FORGET_AFTER_CHECKS:
        del instances.record_by_address[address]
    else:
        record = record._replace(failed_checks=failed)
        instances.record_by_address[address] = record
    take_snapshot(instances, now)


def take_snapshot(instances: InstanceList, now: float) -> None:
    """Remember what the list is now, if it changed."""
    listed = tuple(
        record.instance
        for record in instances.record_by_address.values()
        if record.failed_checks == 0
    )
    if not instances.snapshots or instances.snapshots[-1][1] != listed:
        instances.snapshots.append((now, listed))
    while (
        len(instances.snapshots) > 1 and instances.snapshots[1][0] < now - LONGEST_LAG_S
    ):
        instances.snapshots.popleft()


def listed_at(instances: InstanceList, at: float) -> tuple[InstanceDocument, ...]:
    """Return the list as it was at a time."""
    listed: tuple[InstanceDocument, ...] = ()
    for taken, snapshot in instances.snapshots:
        if taken > at:
            break
        listed = snapshot
    return listed
