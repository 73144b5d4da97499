"""Request of another instance for the position of a primary."""

from typing import NamedTuple

from jackdawspread.messages.fleet.primary_position_request import (
    PrimaryPositionRequest,
)


class PrimaryPositionRequested(NamedTuple):
    """A request, and the ``IP:port`` of the instance that waits for the reply."""

    request: PrimaryPositionRequest
    peer: str
