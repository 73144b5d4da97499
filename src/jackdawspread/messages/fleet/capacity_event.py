"""Events that the capacity exchange handles."""

from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.placement_changed import PlacementChanged

CapacityEvent = PeersSeen | PlacementChanged
