"""Promotion of one term."""

from typing import NamedTuple

# Position of a log's end as (term, sequence); None if there is no promise yet.
End = tuple[int, int] | None


class Term(NamedTuple):
    """Answers to ``prepare``, and what the primary opened has sent.

    ``history`` is the log of the term's primary; it represents every message of
    replication that may still arrive.  ``opened`` are the members opened,
    and ``acknowledged`` is the greatest sequence acknowledged in the term.
    """

    answers: tuple[End, ...]
    history: tuple[int, ...]
    opened: tuple[int, ...]
    acknowledged: int
