"""Events that the configuration keeper handles."""

from jackdawspread.messages.fleet.configuration_copy_query import (
    ConfigurationCopyQuery,
)
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_fetched import ConfigurationFetched
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.store_reading_failed import StoreReadingFailed
from jackdawspread.messages.fleet.stored_configuration_seen import (
    StoredConfigurationSeen,
)

ConfigurationEvent = (
    ConfigurationCopyQuery
    | ConfigurationDigest
    | ConfigurationFetched
    | PeersSeen
    | StoreReadingFailed
    | StoredConfigurationSeen
)
