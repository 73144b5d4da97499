"""Report of the store's clock in the answer to a call."""

from typing import NamedTuple


class StoreClockSampled(NamedTuple):
    """Reports what a call to the store has shown about its clock.

    Parameters
    ----------
    store_time_s : float
        Time of the store's clock in the answer, in seconds.
    sent_at, received_at : float
        Times in seconds of the boot-time clock before the call was sent and after it
        was answered.
    """

    store_time_s: float
    sent_at: float
    received_at: float
