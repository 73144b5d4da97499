"""Peer frame that this version does not support."""

from typing import NamedTuple


class UnsupportedFrame(NamedTuple):
    """Kind, version and correlation id of a frame of another version."""

    version: int
    kind: str
    id: str
