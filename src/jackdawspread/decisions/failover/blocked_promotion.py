"""Time for which promotions in a group have lacked logs."""

from typing import NamedTuple

# A member that crashed may return with the missing log. The failover gap of the design
# scale, 16 s, leaves this time to wait for it.
MISSING_LOG_TIMEOUT_S = 10.0
# Attempts follow each other faster than this while a group has no primary.
MAX_ATTEMPT_INTERVAL_S = 3.0


class BlockedPromotion(NamedTuple):
    """Attempts in a row that ended because logs were missing.

    Parameters
    ----------
    since : float
        Monotonic time in seconds of the first one.
    last_at : float
        Monotonic time in seconds of the last one.
    """

    since: float
    last_at: float


def count_blocked_attempt(
    blocked: BlockedPromotion | None, now: float
) -> BlockedPromotion:
    """Return the state after an attempt that lacked logs."""
    if blocked is None or now - blocked.last_at > MAX_ATTEMPT_INTERVAL_S:
        return BlockedPromotion(now, now)
    return blocked._replace(last_at=now)


def is_overdue(blocked: BlockedPromotion) -> bool:
    """Whether members that are gone are no longer waited for."""
    return blocked.last_at - blocked.since >= MISSING_LOG_TIMEOUT_S
