"""Removal of a prepared statement."""

from typing import NamedTuple


class ForgetStatement(NamedTuple):
    """Removes a prepared statement from the session."""

    name: str
