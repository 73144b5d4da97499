"""State of the decision how many reads of a group leave the failure domain."""

from typing import NamedTuple


class DepartureState(NamedTuple):
    """Decision of one pool host about the reads of its failure domain.

    Parameters
    ----------
    is_leaving : bool
        Whether leaving the failure domain pays.
    wait_s : float
        Moving average of the expected wait in the failure domain in seconds.
    share : float
        Fraction of the reads that leave.
    credit : float
        Sum of the shares since the last read that left; one leaves when it reaches 1.
    """

    is_leaving: bool = False
    wait_s: float = 0.0
    share: float = 0.0
    credit: float = 0.0
