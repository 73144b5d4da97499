"""The last configurations that this instance has held."""

from jackdawspread.codecs.configuration_copies import encode_changes
from jackdawspread.decisions.store_reads.configuration_changes import (
    EMPTY_CONFIGURATION,
    configuration_changes,
)
from jackdawspread.messages.fleet.configuration_revision import (
    NO_REVISION,
    ConfigurationRevision,
)
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration

# An instance with an older one gets the whole configuration.
MAX_CONFIGURATIONS = 8


class ConfigurationHistory:
    """Encodes the changes since one of the last configurations.

    The configurations share their unchanged entries. Only the configuration keeper
    uses the history.
    """

    def __init__(self) -> None:
        self._by_revision: dict[ConfigurationRevision, FleetConfiguration] = {}
        # Encoded changes from each configuration to the newest one.
        self._encoded_by_base: dict[ConfigurationRevision, bytes] = {}

    def add(
        self, revision: ConfigurationRevision, configuration: FleetConfiguration
    ) -> None:
        """Add the newest configuration."""
        self._by_revision.pop(revision, None)
        self._by_revision[revision] = configuration
        if len(self._by_revision) > MAX_CONFIGURATIONS:
            del self._by_revision[next(iter(self._by_revision))]
        self._encoded_by_base.clear()

    def encoded_changes(
        self, base: ConfigurationRevision
    ) -> tuple[ConfigurationRevision, bytes]:
        """Return the encoded changes to the newest configuration, and their base.

        The base is ``NO_REVISION`` if the requested one is not known any more.
        """
        if base not in self._by_revision:
            base = NO_REVISION
        encoded = self._encoded_by_base.get(base)
        if encoded is None:
            newest = next(reversed(self._by_revision.values()))
            old = self._by_revision.get(base, EMPTY_CONFIGURATION)
            encoded = encode_changes(configuration_changes(old, newest))
            self._encoded_by_base[base] = encoded
        return base, encoded
