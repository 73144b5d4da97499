"""Positions that an instance has acknowledged in one group."""

from collections.abc import Iterable
from typing import NamedTuple

from jackdawspread.messages.position import Position


class AcknowledgedPositions(NamedTuple):
    """Says how far the log of a promoted member has to reach.

    Parameters
    ----------
    certain : Position or None
        Highest position that the acknowledged commits have reached for certain; None if
        no commit was acknowledged.
    shown : Position or None
        Highest position in the answer to an acknowledged commit. It may include later
        commits of others that were not acknowledged.
    """

    certain: Position | None = None
    shown: Position | None = None


NOTHING_ACKNOWLEDGED = AcknowledgedPositions()


def merge_acknowledged(
    positions: Iterable[AcknowledgedPositions],
) -> AcknowledgedPositions:
    """Return the highest positions that any of several instances has acknowledged."""
    merged = NOTHING_ACKNOWLEDGED
    for each in positions:
        merged = AcknowledgedPositions(
            newest_known(merged.certain, each.certain),
            newest_known(merged.shown, each.shown),
        )
    return merged


def newest_known(first: Position | None, second: Position | None) -> Position | None:
    """Return the newer of two positions that may not be known."""
    return max((position for position in (first, second) if position), default=None)
