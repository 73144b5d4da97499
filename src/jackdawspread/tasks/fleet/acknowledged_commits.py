"""Commits of one group that an instance has acknowledged."""

from jackdawspread.decisions.acknowledgement.acknowledged_positions import (
    add_acknowledged,
    find_missing,
)
from jackdawspread.decisions.members.missing_commits import confirmed_commit
from jackdawspread.messages.fleet.acknowledged_positions import (
    NOTHING_ACKNOWLEDGED,
    AcknowledgedPositions,
    merge_acknowledged,
)
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.position import Position
from jackdawspread.tasks.members.known_positions import KnownPositions


class AcknowledgedCommits:
    """Highest positions that were acknowledged; belongs to the acknowledgement task."""

    def __init__(self) -> None:
        self._positions = NOTHING_ACKNOWLEDGED
        self._known = KnownPositions()
        self._shown_by_term: dict[int, int] = {}

    @property
    def positions(self) -> AcknowledgedPositions:
        """How far the log of a promoted member has to reach."""
        return self._positions

    def add(self, shown: Position, sent_at: float, now: float) -> None:
        """Remember an acknowledged commit.

        ``shown`` is the position in the answer to the statement that was sent at
        ``sent_at``. Both times are in seconds of the boot-time clock.
        """
        certain = confirmed_commit(self._known.at(sent_at), shown)
        added = AcknowledgedPositions(certain, shown)
        self._positions = merge_acknowledged((self._positions, added))
        self._known.add(shown, now)
        add_acknowledged(self._shown_by_term, shown)

    def find_missing(self, state: PromotionState) -> Position | None:
        """Return the last acknowledged commit that a promoted log lacks, if any."""
        return find_missing(self._shown_by_term, state)
