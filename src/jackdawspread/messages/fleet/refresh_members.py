"""Request to read the list of members again."""

from typing import NamedTuple


class RefreshMembers(NamedTuple):
    """Requests a newer list of members as soon as possible.

    Parameters
    ----------
    reason : str
        Why it is needed.
    own_read : bool
        Whether this instance must read it itself, since a decision depends on the time
        of the read.
    """

    reason: str
    own_read: bool = False
