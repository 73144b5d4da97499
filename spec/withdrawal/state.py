"""State of the model of a withdrawal."""

from typing import NamedTuple

from spec.withdrawal.instance import Instance


class State(NamedTuple):
    """Platform, confirmations and instances.

    ``stored`` is the epoch of the instance that stored the withdrawal, 0 if it is
    not stored; ``promises`` and ``confirmed`` (by epoch) are sets of instances as
    bits; ``reported`` counts down the ticks since the withdrawal was reported in
    force, None before; ``carried`` states whether a promise carried the withdrawal.
    """

    epoch: int
    promises: int
    stored: int
    confirmed: tuple[int, int, int]
    reported: int | None
    instances: tuple[Instance, ...]
    carried: bool = False
