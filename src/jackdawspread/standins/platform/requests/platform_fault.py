"""Changes the fault mode."""

from typing import Literal, NamedTuple


class PlatformFault(NamedTuple):
    """Changes the fault mode; absent delays stay as they are.

    With `close`, the mode ``down`` closes connections in place of staying silent.
    """

    mode: Literal["up", "down", "slow", "lose_answers"]
    delay_ms: float | None = None
    list_lag_ms: float | None = None
    close: bool = False
