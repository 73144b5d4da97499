"""Effect: a term came into force."""

from typing import NamedTuple


class TermStarted(NamedTuple):
    """Announce a term and its primary.

    Parameters
    ----------
    term : int
        The new term.
    primary : str
        Address of its primary.
    is_promotion : bool
        Whether this owner promoted the primary, rather than learnt of it.
    gap : float
        Seconds since the previous primary last answered; 0 if unknown.
    """

    term: int
    primary: str
    is_promotion: bool
    gap: float
