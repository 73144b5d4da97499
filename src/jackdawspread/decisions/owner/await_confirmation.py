"""Effect: wait until a second member has confirmed a write."""

from typing import NamedTuple

from jackdawspread.decisions.owner.running_request import RunningRequest


class AwaitConfirmation(NamedTuple):
    """Acknowledge the write once a second member has the answer's position."""

    running: RunningRequest
