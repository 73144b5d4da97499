"""Effect: wait for a second member."""

from typing import NamedTuple

from jackdawspread.decisions.owner.running_request import RunningRequest


class AwaitConfirmation(NamedTuple):
    """Acknowledge once a second member holds the answer's position."""

    running: RunningRequest
