"""Read consistency of a route."""

from enum import StrEnum


class Consistency(StrEnum):
    """Which commits a read must see.

    A ``PRIMARY`` read sees every commit. A ``BOUNDED`` read may miss commits that
    are newer than the route's maximum staleness. A ``SESSION`` read is bounded too,
    and sees every commit of its own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"
