"""What an answer of the platform's store says about the configuration."""

from collections.abc import Mapping, Sequence

from absl import logging

from jackdawspread.codecs.configuration_copies import configuration_revision
from jackdawspread.messages.fleet.configuration_revision import NO_REVISION
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.stored_configuration_seen import (
    StoredConfigurationSeen,
)
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.configuration_rows import decode_configuration
from jackdawspread.platform.ignored_rows import IgnoredRows
from jackdawspread.platform.store_rows import (
    StoreRow,
    decode_rows,
    newest_version,
    store_time_s,
    versions_by_key,
)

TABLE = "op"
CONFIGURATION_KEY = "config"
# The rest of the key is the name of the platform's zone, a failure domain.
EVACUATION_PREFIX = "evacuate/"


def decode_answer(
    outcome: HttpOutcome, way: ConfigurationWay, epoch: int, ignored: IgnoredRows
) -> StoredConfigurationSeen:
    """Decode an answer; the newest version of each row counts.

    A configuration that can't be read leaves the last good one in use.

    Parameters
    ----------
    outcome : HttpOutcome
        Outcome of the call.
    way : ConfigurationWay
        Kind of the call.
    epoch : int
        Epoch of the store.
    ignored : IgnoredRows
        Logs the rows that can't be read.
    """
    found = versions_by_key(decode_rows(outcome.body))
    stored = found.get(CONFIGURATION_KEY, [])
    configuration = _newest_readable(stored, ignored)
    _log_versions(stored, configuration)
    return StoredConfigurationSeen(
        way,
        configuration,
        stored[0].deleted if stored else way is ConfigurationWay.READ,
        configuration_revision(configuration) if configuration else NO_REVISION,
        _evacuations(found),
        epoch,
        newest_version(outcome.body),
        store_time_s(outcome.body),
        outcome.began_at,
    )


def _newest_readable(
    versions: Sequence[StoreRow], ignored: IgnoredRows
) -> FleetConfiguration | None:
    for row in versions:
        if row.deleted:
            continue
        try:
            return decode_configuration(row.value)
        except ValueError as error:
            ignored.report(row.version, str(error))
    return None


def _log_versions(
    versions: Sequence[StoreRow], configuration: FleetConfiguration | None
) -> None:
    """Log an answer that has several versions of the configuration."""
    if len(versions) > 1:
        logging.info(
            "configuration: several versions in an answer row_versions=%s chosen=%s",
            ",".join(str(row.version) for row in versions),
            configuration.version if configuration is not None else "none",
        )


def _evacuations(found: Mapping[str, Sequence[StoreRow]]) -> dict[str, int | None]:
    return {
        key.removeprefix(EVACUATION_PREFIX): None if newest.deleted else newest.version
        for key, (newest, *_) in found.items()
        if key.startswith(EVACUATION_PREFIX)
    }
