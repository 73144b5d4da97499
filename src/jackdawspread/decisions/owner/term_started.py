"""Effect: a new term started."""

from typing import NamedTuple


class TermStarted(NamedTuple):
    """Announce a new term and its primary.

    Parameters
    ----------
    term : int
        The new term.
    primary : str
        Address of its primary.
    is_promotion : bool
        Whether this owner promoted the primary itself.
    failover_gap : float
        Seconds since the previous primary last answered; 0 if unknown.
    """

    term: int
    primary: str
    is_promotion: bool
    failover_gap: float
