"""Datagram with the result of a demotion for another instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.log_status import LogStatus


class PrimaryDemotionReply(NamedTuple):
    """Answers a request to demote a primary.

    Parameters
    ----------
    id : int
        Id of the request.
    status : LogStatus or None
        Log of the demoted primary; None if this instance has not demoted it.
    """

    id: int
    status: LogStatus | None
