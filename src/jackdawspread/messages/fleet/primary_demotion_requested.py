"""Request of another instance to demote a primary."""

from typing import NamedTuple

from jackdawspread.messages.fleet.primary_demotion_request import (
    PrimaryDemotionRequest,
)


class PrimaryDemotionRequested(NamedTuple):
    """A request, and the ``IP:port`` of the instance that waits for the reply."""

    request: PrimaryDemotionRequest
    peer: str
