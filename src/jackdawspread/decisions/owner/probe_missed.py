"""Event: a member did not answer a probe."""

from typing import NamedTuple


class ProbeMissed(NamedTuple):
    """Probe without an answer; ``is_refused`` if the connection was refused."""

    address: str
    is_refused: bool
