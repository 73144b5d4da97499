"""Instance of the proxy."""

from typing import NamedTuple


class Instance(NamedTuple):
    """Epoch, promise, knowledge of the withdrawal, and remaining ticks.

    ``authority`` and ``asked`` are those of the authority held and of the heartbeat
    round that is open.
    """

    epoch: int
    promised: int
    knows: bool
    authority: int
    asked: int
