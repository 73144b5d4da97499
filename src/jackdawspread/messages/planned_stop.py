"""Request for a planned stop."""

from typing import NamedTuple


class PlannedStop(NamedTuple):
    """Asks the control decisions to announce the stop and leave the view."""
