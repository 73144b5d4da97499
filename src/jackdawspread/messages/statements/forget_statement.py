"""Removal of a prepared name."""

from typing import NamedTuple


class ForgetStatement(NamedTuple):
    """Drops a prepared name of the session."""

    name: str
