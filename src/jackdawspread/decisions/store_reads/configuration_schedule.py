"""How long an instance waits for a confirmation of the configuration.

Every instance waits at the store for a change. Only the first one in each failure
domain has the store confirm an unchanged configuration every few seconds, and passes
that on.
"""

from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK

# The store answers the first instance after this time if nothing has changed.
CONFIRMATION_INTERVAL_S = 3.0
# It answers the others only after this time, which the store allows up to 30 s.
LONG_WAIT_S = 25.0
# Time for the answer beyond the wait.
ANSWER_MARGIN_S = 0.8
# Further time that an instance waits for each one that is before it.
RANK_DELAY_S = 0.3
RETRY_DELAY_S = 0.3


def feed_wait_s(rank: int) -> float:
    """Return the seconds after which the store answers without a change."""
    return CONFIRMATION_INTERVAL_S if rank == 0 else LONG_WAIT_S


def confirmation_timeout_s(rank: int) -> float:
    """Return the seconds without a confirmation after which an instance reads."""
    delay_s = RANK_DELAY_S * min(rank, MAX_RANK)
    return CONFIRMATION_INTERVAL_S + ANSWER_MARGIN_S + delay_s


def retry_delay_s(rank: int) -> float:
    """Return the seconds between two reads while the store does not answer."""
    return RETRY_DELAY_S * (1 + min(rank, MAX_RANK))
