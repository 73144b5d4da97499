"""Request in the queue of a database."""

from typing import NamedTuple

from jackdawspread.messages.routed_request import RoutedRequest


class QueuedRequest(NamedTuple):
    """Request with its position in the queue.

    Parameters
    ----------
    id : int
        Id within the owner.
    request : RoutedRequest
        The waiting request.
    lane : str
        Sub-queue of requests that need the same kind of member: ``primary``,
        ``begin``, ``any`` or ``transaction``. Requests of one workspace and lane are
        sent in order of arrival.
    expires_at : float
        Monotonic time in seconds at which the request is refused instead of sent.
    start_tag : float
        Virtual time at which the service of the request starts.
    is_outcome_lookup : bool
        Whether the request only queries the outcome of an earlier commit.
    """

    id: int
    request: RoutedRequest
    lane: str
    expires_at: float
    start_tag: float = 0.0
    is_outcome_lookup: bool = False
