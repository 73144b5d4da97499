"""Events that the configuration feed handles beside the answers of the store."""

from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.peers_seen import PeersSeen

ConfigurationFeedEvent = ConfigurationConfirmed | PeersSeen
