"""Samples of the primary's log position.

A read of bounded age may be served by a replica whose log has reached a sample that
is recent enough.
"""

from jackdawspread.decisions.members.primary_position_sample import (
    PrimaryPositionSample,
)
from jackdawspread.messages.position import Position

# Samples closer together than this do not improve the choice of a position.
MIN_SAMPLE_INTERVAL_S = 0.05
# No route allows older reads; limits the number of samples.
MAX_SAMPLE_AGE_S = 6.0


def add_sample(
    samples: tuple[PrimaryPositionSample, ...], position: Position, at: float
) -> tuple[PrimaryPositionSample, ...]:
    """Add the log position of a member that was the primary at ``at``."""
    if samples and at <= samples[-1].at:
        return samples
    kept = tuple(sample for sample in samples if sample.at > at - MAX_SAMPLE_AGE_S)
    if len(kept) > 1 and at - kept[-2].at < MIN_SAMPLE_INTERVAL_S:
        kept = kept[:-1]
    return (*kept, PrimaryPositionSample(position, at))


def oldest_sample_since(
    samples: tuple[PrimaryPositionSample, ...], earliest: float
) -> PrimaryPositionSample | None:
    """Return the oldest sample that was taken at or after ``earliest``.

    The oldest sample that is still fresh enough is the one that replicas are most
    likely to have received.
    """
    for sample in samples:
        if sample.at >= earliest:
            return sample
    return None


def newest_position(first: Position, second: Position | None) -> Position:
    """Return the newer of two positions."""
    return first if second is None else max(first, second)
