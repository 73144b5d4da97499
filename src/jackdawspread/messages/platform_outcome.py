"""Outcome of a call to the platform."""

from typing import NamedTuple


class PlatformOutcome(NamedTuple):
    """Status 0 means that no answer came; then `sent` tells whether the call
    may have taken effect."""

    id: int
    status: int
    body: dict[str, object]
    sent: bool
