"""When an instance reads the list of members itself.

Every instance passes a list that it has read on to the others in its failure domain.
The instances are ordered by their ids, and each waits longer than the one before it, so
that usually only the first one reads.
"""

from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK

POLL_INTERVAL_S = 1.0
# Minimum time between two reads when a newer list is requested.
MIN_POLL_INTERVAL_S = 0.15
# Further time that an instance waits for the list of each one that is before it.
RANK_DELAY_S = 0.4


def poll_interval_s(rank: int, is_requested: bool) -> float:
    """Return the seconds from one list of members to the next read.

    Parameters
    ----------
    rank : int
        Number of instances in the failure domain that are before this one.
    is_requested : bool
        Whether a newer list is needed, because a member failed.
    """
    interval_s = MIN_POLL_INTERVAL_S if is_requested else POLL_INTERVAL_S
    return interval_s + RANK_DELAY_S * min(rank, MAX_RANK)
