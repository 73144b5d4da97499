"""Changes the fault mode of the platform."""

from typing import Literal, NamedTuple


class PlatformFault(NamedTuple):
    """Changes the fault mode; absent delays stay unchanged.

    With `close`, the mode ``down`` closes the connection of a request instead of
    leaving the request unanswered.
    """

    mode: Literal["up", "down", "slow", "lose_answers"]
    delay_ms: float | None = None
    list_lag_ms: float | None = None
    close: bool = False
