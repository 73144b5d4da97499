"""Answer to a readiness query."""

from typing import NamedTuple


class Readiness(NamedTuple):
    """Whether the instance may admit new work now."""

    has_authority: bool
