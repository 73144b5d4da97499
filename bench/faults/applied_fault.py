"""Fault that was applied."""

from typing import NamedTuple


class AppliedFault(NamedTuple):
    """What was disturbed, and when, in seconds since the load started.

    ``database`` is empty unless the fault hit the primary of a database.
    """

    at: float
    description: str
    database: str = ""
