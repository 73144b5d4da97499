"""State of the model of the succession."""

from typing import NamedTuple

from spec.succession.attempt import Attempt


class State(NamedTuple):
    """Members' logs, the duty's record, and what is under way.

    An entry of a log is its term times ten plus its number, so entries order like
    positions. ``orders`` are promotions that were sent and may be carried out at any
    time, and again.
    """

    logs: tuple[tuple[int, ...], ...]
    primary: int
    term: int
    paused: tuple[bool, ...]
    acknowledged: tuple[int, ...]
    attempts: tuple[Attempt, ...]
    duty_token: int
    duty_is_free: bool
    duty_ordered: int
    orders: tuple[tuple[int, int], ...]
    highest_token: int
