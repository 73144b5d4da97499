"""Request for a planned stop."""

from typing import NamedTuple


class PlannedStop(NamedTuple):
    """Asks the control decisions to hand over, and to leave the view once drained.

    Until ``has_drained`` the instance stays in the view, because it goes on
    admitting the requests that still reach it.
    """

    has_drained: bool
