"""When an instance reads the promotion states itself.

One instance reads for the whole fleet and passes the states on. The others wait longer
the later they are in the order, so that the loss of the reader needs no election.
"""

from jackdawspread.decisions.store_reads.member_poll_schedule import (
    POLL_INTERVAL_S,
    poll_interval_s,
)


def next_promotion_read_at(
    rank: int, heard_at: float, attempted_at: float, has_failed: bool
) -> float:
    """Return the time of the next read.

    An instance that has read because it heard nothing goes on every second until it
    hears from another one. After a failure it waits by its rank, so that not all
    instances ask a store that is down every second.

    Parameters
    ----------
    rank : int
        Number of instances that are before this one.
    heard_at, attempted_at : float
        Times in seconds at which newer states last came from another instance, and of
        the last read.
    has_failed : bool
        Whether the last read gave no states.
    """
    waited_s = poll_interval_s(rank, is_requested=False)
    if has_failed:
        return max(heard_at, attempted_at) + waited_s
    # The first instance reads whatever it hears.
    heard_until = heard_at + waited_s if rank else 0.0
    return max(heard_until, attempted_at + POLL_INTERVAL_S)
