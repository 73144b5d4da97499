"""Opens the fence of acknowledgements of each attempt."""

from trio import MemorySendChannel

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.messages.fleet.announcement_event import AnnouncementEvent
from jackdawspread.tasks.fleet.acknowledgement_fence import AcknowledgementFence
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient
from jackdawspread.tasks.fleet.record_client import RecordClient


class AcknowledgementFences:
    """Gives each attempt a fence with its collaborators.

    Parameters
    ----------
    locks : PromotionLockClient
        Client of the promotion locks.
    records : RecordClient
        Access to the list of instances and to their reports in the store.
    announcements : trio.MemorySendChannel
        Inbox of the announcement task.
    """

    def __init__(
        self,
        locks: PromotionLockClient,
        records: RecordClient,
        announcements: MemorySendChannel[AnnouncementEvent],
    ) -> None:
        self._locks = locks
        self._records = records
        self._announcements = announcements

    def open(
        self, group: str, lock: HeldPromotionLock, is_enabled: bool
    ) -> AcknowledgementFence:
        """Return the fence of an attempt that holds ``lock``."""
        return AcknowledgementFence(
            group,
            lock,
            is_enabled,
            self._locks,
            self._records,
            self._announcements,
        )
