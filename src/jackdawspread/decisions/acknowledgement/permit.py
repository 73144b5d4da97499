"""Time for which knowledge of the promotion states lets an instance acknowledge."""

from jackdawspread.decisions.acknowledgement.evidence import Evidence, is_epoch_settled
from jackdawspread.decisions.acknowledgement.registration import (
    Registration,
    is_registered,
    survives_restore,
)

# Covers two reads of the store, one each second, and the delay of a lost datagram. A
# promotion waits for this time if an instance does not confirm an announcement.
PERMIT_S = 2.5


def has_permit(
    evidence: Evidence | None, registration: Registration | None, now: float
) -> bool:
    """Whether no promotion can have begun that this instance does not know of.

    ``now`` is the time in seconds of the boot-time clock. A promotion asks the
    registered instances, so evidence from before the registration gives no permit.
    """
    if evidence is None or registration is None:
        return False
    return (
        now < evidence.as_of + PERMIT_S
        and is_epoch_settled(evidence, now)
        and registration.since <= evidence.as_of
        and is_registered(registration, now)
        and survives_restore(registration, evidence.epoch, evidence.epoch_seen_at)
    )
