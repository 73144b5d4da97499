"""Request waiting in a database's queue."""

from typing import NamedTuple

from jackdawspread.messages.routed_request import RoutedRequest


class QueuedRequest(NamedTuple):
    """Request with its tags for fair queueing.

    Parameters
    ----------
    id : int
        Id within the owner.
    request : RoutedRequest
        The waiting request.
    lane : str
        Requests of one workspace and lane are sent in order of arrival.
    expires_at : float
        Monotonic time in seconds at which it is refused instead of sent.
    start_tag : float
        Virtual time at which its service starts in the fair schedule.
    is_outcome_lookup : bool
        Whether a member is asked for the outcome of an earlier commit.
    """

    id: int
    request: RoutedRequest
    lane: str
    expires_at: float
    start_tag: float = 0.0
    is_outcome_lookup: bool = False
