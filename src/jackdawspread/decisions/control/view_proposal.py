"""Proposal of a view change."""

from typing import NamedTuple


class ViewProposal(NamedTuple):
    """Proposal to replace the view with ``epoch``.

    ``promised`` are the members that have promised, ``requested_at`` is the time at
    which the promises were last requested.
    """

    epoch: int
    started_at: float
    requested_at: float
    promised: frozenset[str]
