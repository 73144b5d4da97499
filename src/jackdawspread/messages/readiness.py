"""Answer to a readiness query."""

from typing import NamedTuple


class Readiness(NamedTuple):
    """Readiness of an instance: whether it may admit new work now."""

    has_authority: bool
