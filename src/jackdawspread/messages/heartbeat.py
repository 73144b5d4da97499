"""Heartbeat between instances."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """Asks a peer to vote for the sender's epoch.

    ``sequence`` identifies the heartbeat, so that the sender counts the vote from
    the time at which it sent the heartbeat.
    """

    incarnation: str
    epoch: int
    sequence: int
    configuration_version: int
