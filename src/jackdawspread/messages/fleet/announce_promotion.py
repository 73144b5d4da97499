"""Order to announce a promotion state."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.announcement_result import AnnouncementResult
from jackdawspread.messages.fleet.promotion_state import PromotionState


class AnnouncePromotion(NamedTuple):
    """Asks the announcement task to announce a state to instances.

    Parameters
    ----------
    state : PromotionState
        State that was written.
    address_by_instance : dict
        ``IP:port`` of each other instance, by its id.
    expires_at : float
        Monotonic time in seconds after which confirmations are not awaited.
    reply_to : trio.MemorySendChannel or None
        Receives the result as soon as all instances have confirmed, or at
        ``expires_at``. None if confirmations are not awaited; the state is then
        announced once.
    """

    state: PromotionState
    address_by_instance: dict[str, str]
    expires_at: float
    reply_to: MemorySendChannel[AnnouncementResult] | None
