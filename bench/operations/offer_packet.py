"""A gardener offers a packet of seeds."""

from typing import NamedTuple


class OfferPacket(NamedTuple):
    """A gardener offers a packet of seeds."""

    packet: str
    quantity: int
