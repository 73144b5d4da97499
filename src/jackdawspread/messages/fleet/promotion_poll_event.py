"""Events that the poll of the promotion states handles."""

from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.promotion_states_relayed import (
    PromotionStatesRelayed,
)
from jackdawspread.messages.fleet.store_clock_sampled import StoreClockSampled

PromotionPollEvent = PeersSeen | PromotionStatesRelayed | StoreClockSampled
