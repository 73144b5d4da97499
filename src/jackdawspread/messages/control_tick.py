"""Timer of the control task."""

from typing import NamedTuple


class ControlTick(NamedTuple):
    """Tells the control decisions that time has passed."""
