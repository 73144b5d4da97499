"""Messages that instances send to each other in datagrams."""

from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.primary_demotion_reply import PrimaryDemotionReply
from jackdawspread.messages.fleet.primary_demotion_request import (
    PrimaryDemotionRequest,
)
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.primary_position_request import (
    PrimaryPositionRequest,
)
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_states_relayed import (
    PromotionStatesRelayed,
)
from jackdawspread.messages.fleet.rate_leases_announced import RateLeasesAnnounced
from jackdawspread.messages.fleet.token_reply import TokenReply
from jackdawspread.messages.fleet.token_request import TokenRequest

PeerDatagram = (
    ConfigurationConfirmed
    | ConfigurationDigest
    | MembersRelayed
    | PrimaryDemotionReply
    | PrimaryDemotionRequest
    | PrimaryPositionReply
    | PrimaryPositionRequest
    | PromotionAnnounced
    | PromotionAnnouncementReceived
    | PromotionStatesRelayed
    | RateLeasesAnnounced
    | TokenReply
    | TokenRequest
)
