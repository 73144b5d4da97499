"""Instance of the proxy."""

from typing import NamedTuple


class Instance(NamedTuple):
    """Local state of an instance; sets of instances and epochs are bits.

    ``authority`` and ``asked`` are remaining ticks, ``asked`` those of the heartbeat
    round in which ``voters`` voted.  ``age`` counts ticks since ``epoch`` was first
    seen, ``contacts`` are the peers contacted in it; ``unsettled`` are the epochs whose
    shares bound this instance's share.
    """

    epoch: int
    promised: int
    authority: int
    asked: int
    voters: int
    age: int
    contacts: int
    unsettled: int
