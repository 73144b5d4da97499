"""Result of an attempt to replace a primary."""

from typing import NamedTuple

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock


class AttemptResult(NamedTuple):
    """Outcome of an attempt, and whether its promotion lock may be released.

    Parameters
    ----------
    outcome : str
        Outcome in a few words.
    releasable_lock : HeldPromotionLock, optional
        Lock under which no promotion can have happened; None if one has or may have.
    is_resumed : bool
        Whether no command to resume a replica may still be executed, as none was sent
        or all were answered. If not, the lock is left to expire.
    """

    outcome: str
    releasable_lock: HeldPromotionLock | None = None
    is_resumed: bool = True
