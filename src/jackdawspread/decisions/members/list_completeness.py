"""Since when the list of members has named every member that lives."""

from math import inf
from typing import NamedTuple

from jackdawspread.decisions.members.listing_retention import REREGISTRATION_S

# Members register or renew their entries at least this often while the store can be
# reached, so a shorter outage keeps no member from registering for long.
MAX_LIST_GAP_S = 1.5


class ListCompleteness(NamedTuple):
    """What the lists that were read tell of the completeness of the last one.

    A member that could not register during an outage of the store does so within a
    time after its end. An instance that starts does not know of an outage before. A
    failed call alone is no outage: lists of other instances may show that the store
    answered.

    Parameters
    ----------
    whole_from : float
        Monotonic time in seconds; a list that was read then or later is whole. Infinite
        before the first list.
    read_at : float
        Monotonic time in seconds at which the last list was read.
    """

    whole_from: float = inf
    read_at: float = -inf


UNKNOWN_COMPLETENESS = ListCompleteness()


def add_list(completeness: ListCompleteness, read_at: float) -> ListCompleteness:
    """Return the completeness after a list was read at a monotonic time."""
    whole_from = completeness.whole_from
    if read_at - completeness.read_at > MAX_LIST_GAP_S:
        whole_from = read_at + REREGISTRATION_S
    return ListCompleteness(whole_from, read_at)


def is_whole(completeness: ListCompleteness) -> bool:
    """Whether the last list names every member that lived when it was read."""
    return completeness.read_at >= completeness.whole_from
