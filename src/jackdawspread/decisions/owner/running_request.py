"""Request that has been taken out of the queue."""

from typing import NamedTuple

from jackdawspread.messages.answer import Answer
from jackdawspread.messages.routed_request import RoutedRequest


class RunningRequest(NamedTuple):
    """Request with what is known about its execution.

    Parameters
    ----------
    id : int
        Id within the owner.
    request : RoutedRequest
        The request.
    address, role, connection : str, str, int
        Member, its role and the connection of the last attempt.
    term, first_term : int
        Terms of the last attempt and of the first one that may have run.
    may_have_run : bool
        Whether an earlier attempt may have taken effect.
    is_outcome_lookup : bool
        Whether the next attempt asks for the outcome instead of repeating.
    is_primary_only : bool
        Whether a replica refused the read.
    answer : Answer or None
        Answer of the primary that awaits the confirmation of a second member.
    attempts : int
        Attempts that were sent.
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
