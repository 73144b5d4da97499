"""Rules of the succession that a mutant drops."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol."""

    pause_all_replicas: bool = True
    check_pauses: bool = True
    take_furthest: bool = True
    fence_orders: bool = True
    keep_duty_after_order: bool = True
    prefer_ordered: bool = True
    stop_when_duty_lapsed: bool = True
