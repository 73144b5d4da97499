"""List of registered instances, which callers can see with a lag."""

from collections import deque
from typing import NamedTuple

from jackdawspread.standins.platform.instance_document import InstanceDocument
from jackdawspread.standins.platform.instance_record import InstanceRecord

# With one check per second, an address is removed after a minute of failed checks.
MAX_FAILED_CHECKS = 60
# Seconds; older snapshots are dropped.
MAX_LAG_S = 60.0


class InstanceList(NamedTuple):
    """Registrations and the list after each recent change.

    Parameters
    ----------
    record_by_address : dict of str to InstanceRecord
        Registered instances.
    snapshots : deque of tuple
        Time of a change in monotonic seconds and the reachable instances at that
        time, oldest first.
    """

    record_by_address: dict[str, InstanceRecord]
    snapshots: deque[tuple[float, tuple[InstanceDocument, ...]]]


def register(instances: InstanceList, instance: InstanceDocument, now: float) -> None:
    """Register an instance or change its state."""
    instances.record_by_address[instance["address"]] = InstanceRecord(instance)
    take_snapshot(instances, now)


def record_check(
    instances: InstanceList, address: str, is_reachable: bool, now: float
) -> None:
    """Record the result of a connect check."""
    record = instances.record_by_address.get(address)
    if record is None:
        return
    failed = 0 if is_reachable else record.failed_checks + 1
    if failed >= MAX_FAILED_CHECKS:
        del instances.record_by_address[address]
    else:
        record = record._replace(failed_checks=failed)
        instances.record_by_address[address] = record
    take_snapshot(instances, now)


def take_snapshot(instances: InstanceList, now: float) -> None:
    """Store the current list as a snapshot if it has changed."""
    listed = tuple(
        record.instance
        for record in instances.record_by_address.values()
        if record.failed_checks == 0
    )
    if not instances.snapshots or instances.snapshots[-1][1] != listed:
        instances.snapshots.append((now, listed))
    while len(instances.snapshots) > 1 and instances.snapshots[1][0] < now - MAX_LAG_S:
        instances.snapshots.popleft()


def list_at(instances: InstanceList, at: float) -> tuple[InstanceDocument, ...]:
    """Return the list as it was at a given time."""
    listed: tuple[InstanceDocument, ...] = ()
    for taken_at, snapshot in instances.snapshots:
        if taken_at > at:
            break
        listed = snapshot
    return listed
