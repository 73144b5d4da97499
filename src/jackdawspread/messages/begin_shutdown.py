"""Start of a graceful shutdown."""

from typing import NamedTuple


class BeginShutdown(NamedTuple):
    """Tells the control task to announce the shutdown and transfer ownership.

    The instance stays in the view until `LeaveView`, so that requests can finish.
    """
