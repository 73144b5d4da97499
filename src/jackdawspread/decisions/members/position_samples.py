"""Freshness that a replica must prove for a read."""

from jackdawspread.decisions.members.primary_position_sample import (
    PrimaryPositionSample,
)
from jackdawspread.messages.position import Position

# Samples closer together than this add nothing to the choice of a position.
SAMPLE_SPACING_S = 0.05
# No route accepts reads that are older; bounds the number of samples.
SAMPLE_AGE_S = 6.0


def add_sample(
    samples: tuple[PrimaryPositionSample, ...], position: Position, at: float
) -> tuple[PrimaryPositionSample, ...]:
    """Add a position that was proved by a member that led at ``at``."""
    if samples and at <= samples[-1].at:
        return samples
    kept = tuple(sample for sample in samples if sample.at > at - SAMPLE_AGE_S)
    if len(kept) > 1 and at - kept[-2].at < SAMPLE_SPACING_S:
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
