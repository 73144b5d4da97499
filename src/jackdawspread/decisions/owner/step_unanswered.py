"""Event: a step of a promotion remained unanswered."""

from typing import NamedTuple


class StepUnanswered(NamedTuple):
    """Unanswered ``prepare`` or ``open``, which may or may not have arrived."""

    address: str
    step: str
    term: int
