"""Result of an attempt to replace a primary."""

from typing import NamedTuple

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock


class AttemptResult(NamedTuple):
    """Outcome of an attempt, and what becomes of the promotion lock.

    Parameters
    ----------
    outcome : str
        Outcome in a few words.
    unused : HeldPromotionLock, optional
        Lock under which no promotion can have happened; None if one has or may have.
    is_resumed : bool
        Whether no command to resume a replica may still be executed.
    """

    outcome: str
    unused: HeldPromotionLock | None = None
    is_resumed: bool = True
