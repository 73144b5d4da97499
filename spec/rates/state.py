"""State of the model of rates."""

from typing import NamedTuple

from spec.rates.grant import Grant


class State(NamedTuple):
    """Tokens per instance, grants by id, and the ghost leaky counter.

    ``admitted`` falls by the total rate each tick and rises by one for each
    admission, so it exceeds the burst if and only if some window admitted more than
    its burst plus its rate.
    """

    tokens: tuple[int, ...]
    grants: tuple[Grant, ...]
    admitted: int
