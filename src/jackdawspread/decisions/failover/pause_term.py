"""Chooses the term under which replication is paused."""

from collections.abc import Iterable

from jackdawspread.messages.fleet.log_status import LogStatus


def pause_term(statuses: Iterable[LogStatus], recorded: int) -> int:
    """Return a term above every term that a member or the lock's record has shown."""
    seen = (max(status.term, status.paused_term) for status in statuses)
    return 1 + max(recorded, *seen)


def is_pause_ineffective(statuses: Iterable[LogStatus], term: int) -> bool:
    """Whether a member still receives after a pause under a term.

    The group then has had a newer term, which no remaining member has reported.
    """
    return any(s.paused_term < term and not s.claims_primary for s in statuses)
