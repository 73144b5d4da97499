"""Proposal of a view change."""

from typing import NamedTuple


class ViewProposal(NamedTuple):
    """Promises collected for a change of the view with ``epoch``."""

    epoch: int
    started_at: float
    asked_at: float
    promised: frozenset[str]
