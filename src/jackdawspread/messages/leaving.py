"""Announcement of a graceful shutdown."""

from typing import NamedTuple


class Leaving(NamedTuple):
    """Tells peers that the sender accepts no new work."""

    incarnation: str
