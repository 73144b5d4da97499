"""Request for a planned stop."""

from typing import NamedTuple


class BeginShutdown(NamedTuple):
    """Asks the control decisions to announce the stop and pass the seats on.

    The instance stays in the view until `LeaveView`, so that requests can finish.
    """
