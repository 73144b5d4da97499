"""Instance of the proxy."""

from typing import NamedTuple


class Instance(NamedTuple):
    """What an instance knows of the view; sets of instances and epochs are bits.

    ``authority`` and ``asked`` are remaining ticks, ``asked`` those of the heartbeat
    round that ``vouchers`` answered.  ``age`` counts ticks since ``epoch`` was first
    seen, ``heard`` who was heard in it; ``unsettled`` are the epochs whose shares
    bound this instance's share.
    """

    epoch: int
    promised: int
    authority: int
    asked: int
    vouchers: int
    age: int
    heard: int
    unsettled: int
