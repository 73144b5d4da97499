"""Registration of this instance in the store."""

from typing import NamedTuple

from jackdawspread.messages.fleet.instance_registered import InstanceRegistered

# A restored store may have forgotten what was written this long before.
COPY_AGE_S = 30.0
# An entry that is not renewed for 150 s is removed by another instance, whose clock may
# run faster.
REGISTRATION_S = 140.0


class Registration(NamedTuple):
    """Time for which the store has named this instance without an interruption.

    Parameters
    ----------
    since : float
        Time in seconds of the boot-time clock at which the first write was known to be
        acknowledged.
    renewed_at : float
        Time in seconds of the boot-time clock at which the last write was sent.
    epoch : int
        Epoch of the store in which it was written last.
    """

    since: float
    renewed_at: float
    epoch: int = 0


def renew(registration: Registration | None, event: InstanceRegistered) -> Registration:
    """Return the registration after another acknowledged write."""
    if registration is None or not is_registered(registration, event.acknowledged_at):
        return Registration(event.acknowledged_at, event.at, event.epoch)
    renewed_at = max(event.at, registration.renewed_at)
    return registration._replace(renewed_at=renewed_at, epoch=event.epoch)


def is_registered(registration: Registration, now: float) -> bool:
    """Whether the store names the instance at ``now`` (boot-time clock, seconds)."""
    return now < registration.renewed_at + REGISTRATION_S


def survives_restore(
    registration: Registration, epoch: int, epoch_seen_at: float
) -> bool:
    """Whether the store of an epoch has the registration, also if it was restored.

    ``epoch_seen_at`` is a time of the boot-time clock in seconds at which the epoch had
    begun.
    """
    return (
        registration.epoch >= epoch or registration.since + COPY_AGE_S <= epoch_seen_at
    )
