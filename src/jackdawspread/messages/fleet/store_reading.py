"""Whether this instance reads the configuration from the store."""

from typing import NamedTuple


class StoreReading(NamedTuple):
    """Tells the configuration reader what to do from now on.

    Parameters
    ----------
    is_on : bool
        Whether it has the store report changes.
    wait_s : float
        Time in seconds after which the store answers without a change.
    rank : int
        Number of instances of the failure domain that are before this one while the
        store does not answer.
    store_version : int
        Version of the store up to which all changes are known; 0 if none is.
    epoch : int
        Epoch of the store to which that version belongs.
    """

    is_on: bool
    wait_s: float
    rank: int
    store_version: int
    epoch: int
