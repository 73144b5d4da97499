"""Effect: retry a request."""

from typing import NamedTuple

from jackdawspread.decisions.owner.running_request import RunningRequest


class RetryRequest(NamedTuple):
    """Send the request again within its deadline."""

    running: RunningRequest
