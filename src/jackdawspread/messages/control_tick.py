"""Tick of the control task's timer."""

from typing import NamedTuple


class ControlTick(NamedTuple):
    """Lets the control task run its periodic decisions."""
