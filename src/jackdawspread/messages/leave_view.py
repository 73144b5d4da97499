"""End of a planned stop."""

from typing import NamedTuple


class LeaveView(NamedTuple):
    """Tells the control decisions that no request is left to finish."""
