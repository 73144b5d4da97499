"""Datagram with the position of a group's primary."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PrimaryPositionReply(NamedTuple):
    """Answers a request for the position of a primary.

    Parameters
    ----------
    id : int
        Id of the request.
    position : Position
        Log position that holds every commit acknowledged up to ``age_s`` before the
        reply.
    age_s : float
        Age of the position in seconds by a clock that counts time in suspension.
    """

    id: int
    position: Position
    age_s: float
