"""Since when the list of members has named every member that lives."""

from math import inf
from typing import NamedTuple

from jackdawspread.decisions.members.listing_retention import REREGISTRATION_S


class ListCompleteness(NamedTuple):
    """What the calls to the store tell of the completeness of the list.

    A member that could not register during an outage of the store does so within a
    time after its end. An instance that starts does not know of an outage before.

    Parameters
    ----------
    whole_from : float
        Monotonic time in seconds; a list that was read then or later is whole. Infinite
        if no list was read since the start or the last failed call.
    """

    whole_from: float = inf


UNKNOWN_COMPLETENESS = ListCompleteness()


def add_list(completeness: ListCompleteness, read_at: float) -> ListCompleteness:
    """Return the completeness after a list was read at a monotonic time."""
    return ListCompleteness(min(completeness.whole_from, read_at + REREGISTRATION_S))


def is_whole(completeness: ListCompleteness, read_at: float) -> bool:
    """Whether a list names every member that lived when it was read."""
    return read_at >= completeness.whole_from
