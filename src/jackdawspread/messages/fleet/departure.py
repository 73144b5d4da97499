"""Whether a read may be served in another failure domain."""

from enum import Enum


class Departure(Enum):
    """State of the question whether a read leaves the failure domain of its caller.

    It matters only where each failure domain has pool hosts of its own.
    """

    # The pool host of the caller's failure domain decides.
    ASK = "ask"
    # That host has sent the read elsewhere; hosts there serve it if they have room.
    LEAVE = "leave"
    # The first host that can be reached serves the read.
    STAY = "stay"
