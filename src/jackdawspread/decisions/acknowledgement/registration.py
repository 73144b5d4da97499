"""Registration of this instance in the store."""

from typing import NamedTuple

from jackdawspread.messages.fleet.instance_registered import InstanceRegistered

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
    """

    since: float
    renewed_at: float


def renew(registration: Registration | None, event: InstanceRegistered) -> Registration:
    """Return the registration after another acknowledged write."""
    if registration is None or not is_registered(registration, event.acknowledged_at):
        return Registration(event.acknowledged_at, event.at)
    return registration._replace(renewed_at=max(event.at, registration.renewed_at))


def is_registered(registration: Registration, now: float) -> bool:
    """Whether the store names the instance at ``now`` (boot-time clock, seconds)."""
    return now < registration.renewed_at + REGISTRATION_S
