"""Since when the list of members has named every member that lives."""

from math import inf
from typing import NamedTuple

from jackdawspread.decisions.members.listing_retention import REREGISTRATION_S

# Lists are requested a second after the last one arrived, by the second reader of a
# failure domain 0.4 s later. Members retry their registration about as often, so a
# shorter outage keeps none of them from registering for long.
MAX_LIST_GAP_S = 1.5


class ListCompleteness(NamedTuple):
    """What the lists that have arrived tell of the completeness of the next one.

    A member that could not register during an outage of the store does so within a
    time after its end. An instance that starts does not know of an outage before. A
    failed call alone is no outage: lists of other instances may show that the store
    answered.

    Parameters
    ----------
    whole_from : float
        Monotonic time in seconds; a list that was read then or later is whole. Infinite
        before the first list.
    arrived_at : float
        Monotonic time in seconds at which the last list arrived.
    """

    whole_from: float = inf
    arrived_at: float = -inf


UNKNOWN_COMPLETENESS = ListCompleteness()


def add_list(
    completeness: ListCompleteness, requested_at: float, arrived_at: float
) -> ListCompleteness:
    """Return the completeness after a list that was requested and arrived.

    Both are monotonic times. A list may arrive late that was requested before the last
    one arrived.
    """
    whole_from = completeness.whole_from
    if requested_at - completeness.arrived_at > MAX_LIST_GAP_S:
        whole_from = arrived_at + REREGISTRATION_S
    return ListCompleteness(whole_from, max(arrived_at, completeness.arrived_at))


def is_whole(completeness: ListCompleteness, read_at: float) -> bool:
    """Whether a list names every member that lived when it was read."""
    return read_at >= completeness.whole_from
