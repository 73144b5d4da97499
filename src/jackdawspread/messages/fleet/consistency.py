"""Freshness that a route demands of reads."""

from enum import StrEnum


class Consistency(StrEnum):
    """Which commits a read must see.

    ``PRIMARY`` sees all, ``BOUNDED`` all but the newest, and ``SESSION`` in
    addition every commit of its own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"
