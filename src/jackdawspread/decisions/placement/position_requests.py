"""When a pool host asks another one for the position of a primary.

A host in another failure domain than the primary runs no work there, and without a
recent position it could not use its replicas.
"""

from collections.abc import Sequence

from jackdawspread.decisions.members.primary_position_sample import (
    PrimaryPositionSample,
)
from jackdawspread.messages.position import Position

# Routes allow reads of about a second or more; a position of this age is asked for
# again early enough that several samples lie within the allowed age.
REFRESH_AGE_S = 0.25
# A request or its reply may be lost.
REPEAT_INTERVAL_S = 0.1


def needs_position(
    samples: Sequence[PrimaryPositionSample], asked_at: float, now: float
) -> bool:
    """Whether to ask for a position; times are of the boot-time clock in seconds."""
    is_recent = bool(samples) and now - samples[-1].at < REFRESH_AGE_S
    return not is_recent and now - asked_at >= REPEAT_INTERVAL_S


def relayed_sample(
    position: Position, age_s: float, asked_at: float
) -> PrimaryPositionSample:
    """Return the sample that a reply gives.

    The reply was made after the request, so the position is at least as new as its age
    before the request was sent, whatever the reply's way took.
    """
    return PrimaryPositionSample(position, asked_at - age_s)
