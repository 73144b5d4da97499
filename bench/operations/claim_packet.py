"""A gardener claims one unit of another's packet."""

from typing import NamedTuple


class ClaimPacket(NamedTuple):
    """A gardener claims one unit of another's packet."""

    packet: str
