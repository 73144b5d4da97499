"""State of the promotions of one group."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PromotionState(NamedTuple):
    """What the record of a group's promotion lock says about promotions.

    Parameters
    ----------
    group : str
        Member group.
    epoch : int
        Epoch of the store to which the version belongs.
    version : int
        Version of the record; 0 if there is none.
    token : int
        Fencing token of the last acquisition of the lock; 0 if there was none.
    is_suspended : bool
        Whether logs are being compared, so that no commit may be acknowledged.
    outstanding : tuple of str
        Members whose promotion was requested and may still take effect.
    last_requested : str
        Member whose promotion was requested last; empty if none was.
    log_end : Position or None
        End of the log of ``last_requested`` when logs were compared; None if its log
        went on growing.
    fenced_token : int
        Token of the last attempt that suspended acknowledgements or recorded a request.
    """

    group: str
    epoch: int
    version: int
    token: int = 0
    is_suspended: bool = False
    outstanding: tuple[str, ...] = ()
    last_requested: str = ""
    log_end: Position | None = None
    fenced_token: int = 0
