"""Addresses of the other instances."""

from typing import NamedTuple


class PeersSeen(NamedTuple):
    """``IP:port`` of each other instance that lately renewed its shares."""

    addresses: frozenset[str]
