"""State of the model of the succession."""

from typing import NamedTuple

from spec.succession.attempt import Attempt


class State(NamedTuple):
    """Members' logs, the promotion lock, and the attempts in progress.

    An entry of a log is its term times ten plus its number, so entries order like
    positions. ``orders`` are promotions that were sent and may be executed at any
    time, and repeatedly. ``leads`` states that ``primary`` has not been demoted.
    ``duty_outstanding`` are the members of the requests in the lock's record, in their
    order.
    """

    logs: tuple[tuple[int, ...], ...]
    primary: int
    leads: bool
    term: int
    paused: tuple[bool, ...]
    acknowledged: tuple[int, ...]
    attempts: tuple[Attempt, ...]
    duty_token: int
    duty_is_free: bool
    duty_outstanding: tuple[int, ...]
    orders: tuple[tuple[int, int], ...]
    highest_token: int
