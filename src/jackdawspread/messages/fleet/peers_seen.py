"""Addresses of the other instances."""

from typing import NamedTuple


class PeersSeen(NamedTuple):
    """Reports the ``IP:port`` of every other instance that has unexpired shares."""

    addresses: frozenset[str]
