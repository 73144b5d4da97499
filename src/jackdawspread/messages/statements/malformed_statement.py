"""Statement that could not be understood."""

from typing import NamedTuple


class MalformedStatement(NamedTuple):
    """Carries the reason why a statement could not be decoded."""

    reason: str
