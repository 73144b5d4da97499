"""Events that the peer demotion task handles."""

from jackdawspread.messages.fleet.demote_through_peers import DemoteThroughPeers
from jackdawspread.messages.fleet.primary_demotion_reply import PrimaryDemotionReply
from jackdawspread.messages.fleet.primary_demotion_requested import (
    PrimaryDemotionRequested,
)

PeerDemotionEvent = DemoteThroughPeers | PrimaryDemotionReply | PrimaryDemotionRequested
