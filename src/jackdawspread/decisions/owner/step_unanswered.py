"""Event: a step of a promotion got no answer."""

from typing import NamedTuple


class StepUnanswered(NamedTuple):
    """Tells that a ``prepare`` or ``open`` may or may not have arrived."""

    address: str
    step: str
    term: int
