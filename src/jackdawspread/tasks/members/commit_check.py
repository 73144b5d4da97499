"""Compares acknowledged commits with the log of a new primary."""

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
from jackdawspread.tasks.members.known_positions import KnownPositions

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
        self._known_by_term: dict[int, KnownPositions] = {}
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
        known = self._known_by_term[term]
        self._commits_by_term[term] = _update(commits, event, known.at(event.sent_at))
        known.add(event.position, seconds_since_boot())
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
        self._known_by_term[position.term] = KnownPositions()
        if len(self._commits_by_term) > MAX_TERMS:
            oldest = min(self._commits_by_term)
            del self._commits_by_term[oldest], self._known_by_term[oldest]
            self._reported = {pair for pair in self._reported if oldest not in pair}

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
