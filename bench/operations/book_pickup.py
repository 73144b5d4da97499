"""A gardener books the day on which all own claims are picked up."""

from typing import NamedTuple


class BookPickup(NamedTuple):
    """A gardener books the day on which all own claims are picked up."""

    day: int
