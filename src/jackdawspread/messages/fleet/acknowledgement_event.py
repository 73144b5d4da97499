"""Events that the acknowledgement task handles."""

from jackdawspread.messages.fleet.await_writable import AwaitWritable
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.confirm_commit import ConfirmCommit
from jackdawspread.messages.fleet.instance_registered import InstanceRegistered
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.promotion_announcement import PromotionAnnouncement
from jackdawspread.messages.fleet.promotion_states_seen import PromotionStatesSeen

AcknowledgementEvent = (
    AwaitWritable
    | ConfigurationSeen
    | ConfirmCommit
    | InstanceRegistered
    | MembersSeen
    | PromotionAnnouncement
    | PromotionStatesSeen
)
