"""Heartbeat between instances."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """Asks a peer to vouch for the sender's epoch.

    ``sequence`` identifies the heartbeat, so that the sender counts the answer
    from the time at which it asked.
    """

    incarnation: str
    epoch: int
    sequence: int
    configuration_version: int
