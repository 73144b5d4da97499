"""Request that has been taken out of the queue."""

from typing import NamedTuple

from jackdawspread.messages.answer import Answer
from jackdawspread.messages.routed_request import RoutedRequest


class RunningRequest(NamedTuple):
    """Request and the state of its execution.

    Parameters
    ----------
    id : int
        Id of the request within the owner.
    request : RoutedRequest
        The request.
    address, role, connection : str, str, int
        Member, its role and the connection of the last attempt.
    term, first_term : int
        Terms of the last attempt and of the first attempt that may have run.
    may_have_run : bool
        Whether an earlier attempt may have taken effect.
    is_outcome_lookup : bool
        Whether the next attempt queries the outcome of an earlier commit instead of
        running it again.
    is_primary_only : bool
        Whether only the primary may serve the read, because a replica refused it.
    answer : Answer or None
        Answer of the primary that awaits the confirmation of a second member.
    attempts : int
        Number of attempts that were sent.
    """

    id: int
    request: RoutedRequest
    address: str = ""
    role: str = ""
    connection: int = 0
    term: int = 0
    first_term: int = 0
    may_have_run: bool = False
    is_outcome_lookup: bool = False
    is_primary_only: bool = False
    answer: Answer | None = None
    attempts: int = 0
