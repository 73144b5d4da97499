"""Events that the announcement task handles."""

from jackdawspread.messages.fleet.announce_promotion import AnnouncePromotion
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)

AnnouncementEvent = AnnouncePromotion | PromotionAnnouncementReceived
