"""Shares of one instance as kept in the store."""

from typing import TypedDict


class ShareHolder(TypedDict):
    """Shares that an instance holds and those that it needs.

    ``until`` is a time of the store's clock in seconds; ``held`` and ``needed``
    are fractions of each workspace's rate.
    """

    until: float
    held: dict[str, float]
    needed: dict[str, float]
