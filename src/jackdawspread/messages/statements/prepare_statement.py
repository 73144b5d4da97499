"""Preparation of a named statement."""

from typing import NamedTuple


class PrepareStatement(NamedTuple):
    """Gives a shape a name within the session."""

    name: str
    writes: bool
    template: str
