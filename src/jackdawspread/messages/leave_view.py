"""End of a graceful shutdown."""

from typing import NamedTuple


class LeaveView(NamedTuple):
    """Tells the control task that all requests have finished."""
