"""What a selection needs to know of its attempt."""

from typing import NamedTuple

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.tasks.fleet.acknowledgement_fence import AcknowledgementFence
from jackdawspread.tasks.fleet.read_members_since import ReadMembersSince


class FailoverContext(NamedTuple):
    """Attempt to replace a failed primary.

    Parameters
    ----------
    trigger : FailoverTrigger
        Why the attempt is made.
    record : PromotionLockRecord
        Record of the promotion lock as it was acquired.
    members_since : callable
        Waits for a list of members that was read after a monotonic time.
    fence : AcknowledgementFence
        Fence of the attempt.
    """

    trigger: FailoverTrigger
    record: PromotionLockRecord
    members_since: ReadMembersSince
    fence: AcknowledgementFence
