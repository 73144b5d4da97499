"""Result of a load process."""

from typing import NamedTuple


class WorkerResult(NamedTuple):
    """Answered and failed calls, seconds taken, and the encoded histogram."""

    answered: int
    failed: int
    elapsed: float
    histogram: str
