"""When an instance has the store confirm the configuration.

A few instances of each failure domain have the store report changes to them. Only the
first of these has an unchanged configuration confirmed every few seconds; the others
hear of that from it.
"""

from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK

# The store answers the first reader after this time if nothing has changed.
CONFIRMATION_INTERVAL_S = 3.0
# It answers the others only after this time, which the store allows up to 30 s.
LONG_WAIT_S = 25.0
# A reader that has heard no confirmation for this long beyond the interval, and for
# each reader that is before it, asks for one.
CONFIRMATION_MARGIN_S = 0.8
READER_DELAY_S = 0.3
RETRY_DELAY_S = 0.3


def feed_wait_s(position: int) -> float:
    """Return the seconds after which the store answers without a change.

    ``position`` is the number of readers that are before this one.
    """
    return CONFIRMATION_INTERVAL_S if position == 0 else LONG_WAIT_S


def confirmation_timeout_s(position: int) -> float:
    """Return the seconds without a confirmation after which a reader asks for one."""
    return CONFIRMATION_INTERVAL_S + CONFIRMATION_MARGIN_S + READER_DELAY_S * position


def retry_delay_s(failures: int, rank: int) -> float:
    """Return the seconds until the next call while the store does not answer.

    The first ones follow soon, as most failures are short. While the store is away the
    later ones of most instances are rare.

    Parameters
    ----------
    failures : int
        Number of calls in a row that were not answered.
    rank : int
        Number of instances of the failure domain with a smaller id.
    """
    return RETRY_DELAY_S * min(failures, 1 + min(rank, MAX_RANK))
