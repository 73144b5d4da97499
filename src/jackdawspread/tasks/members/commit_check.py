"""Compares acknowledged commits with the log of a new primary."""

from collections import deque

from absl import logging

from jackdawspread.decisions.members.missing_commits import (
    confirmed_commit,
    is_commit_missing,
)
from jackdawspread.decisions.members.term_commits import TermCommits
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.position import Position
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.fleet_metrics import LOST_COMMITS

# Positions closer together than this do not improve the comparison.
MIN_INTERVAL_S = 0.005
MAX_POSITIONS = 256
# A late answer of a former primary belongs to one of the terms before.
MAX_TERMS = 3


class CommitCheck:
    """Tracks the terms of one group; belongs to the group monitor.

    Parameters
    ----------
    group : str
        Member group.
    """

    def __init__(self, group: str) -> None:
        self._group = group
        self._commits_by_term: dict[int, TermCommits] = {}
        # Highest positions of a term, and the boot-time clock in seconds at which they
        # were known.
        self._known_by_term: dict[int, deque[tuple[float, Position]]] = {}
        self._reported: set[tuple[int, int]] = set()

    def observe(self, event: PositionSeen) -> None:
        """Compare a position that the primary has shown with those of other terms."""
        term = event.position.term
        newest = max(self._commits_by_term, default=0)
        if term > newest:
            self._begin_term(event, newest)
        commits = self._commits_by_term.get(term)
        if commits is None:
            return
        before = self._known_at(term, event.sent_at)
        self._commits_by_term[term] = _update(commits, event, before)
        self._remember(event.position)
        if len(self._commits_by_term) > 1:
            self._compare()

    def _begin_term(self, event: PositionSeen, newest: int) -> None:
        position = event.position
        none = Position(position.term, 0)
        if newest:
            commits = self._commits_by_term[newest]
            logging.info(
                "router: term changed group=%s primary=%s first_seen=%d.%d "
                "acknowledged=%d.%d shown=%d.%d",
                self._group,
                event.member,
                *position,
                *commits.acknowledged,
                *commits.shown,
            )
        self._commits_by_term[position.term] = TermCommits(position, none, none)
        self._known_by_term[position.term] = deque(maxlen=MAX_POSITIONS)
        if len(self._commits_by_term) > MAX_TERMS:
            oldest = min(self._commits_by_term)
            del self._commits_by_term[oldest], self._known_by_term[oldest]
            self._reported = {pair for pair in self._reported if oldest not in pair}

    def _known_at(self, term: int, at: float) -> Position | None:
        """Return the highest position that was known at a time."""
        for known_at, position in reversed(self._known_by_term[term]):
            if known_at <= at:
                return position
        return None

    def _remember(self, position: Position) -> None:
        now = seconds_since_boot()
        known = self._known_by_term[position.term]
        if known:
            last_at, last = known[-1]
            if position <= last or now - last_at < MIN_INTERVAL_S:
                return
        known.append((now, position))

    def _compare(self) -> None:
        terms = sorted(self._commits_by_term)
        for earlier, later in zip(terms, terms[1:], strict=False):
            acknowledged = self._commits_by_term[earlier].acknowledged
            seen = self._commits_by_term[later].first_seen
            if (earlier, later) in self._reported or not is_commit_missing(
                acknowledged, seen
            ):
                continue
            self._reported.add((earlier, later))
            LOST_COMMITS.inc()
            logging.error(
                "router: acknowledged commits missing group=%s acknowledged=%d.%d "
                "promoted_end=%d first_seen=%d.%d",
                self._group,
                *acknowledged,
                seen.sequence,
                *seen,
            )


def _update(
    commits: TermCommits, event: PositionSeen, before: Position | None
) -> TermCommits:
    first_seen = min(commits.first_seen, event.position)
    if not event.confirms_write:
        return commits._replace(first_seen=first_seen)
    confirmed = confirmed_commit(before, event.position)
    return TermCommits(
        first_seen,
        max(commits.acknowledged, confirmed),
        max(commits.shown, event.position),
    )
