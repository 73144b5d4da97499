"""Difference between two configurations, and its application."""

from collections.abc import Mapping
from typing import TypeVar

from jackdawspread.messages.fleet.configuration_changes import ConfigurationChanges
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration

V = TypeVar("V")

EMPTY_CONFIGURATION = FleetConfiguration(0, {}, {}, {}, {}, 0.0, {})


def configuration_changes(
    old: FleetConfiguration, new: FleetConfiguration
) -> ConfigurationChanges:
    """Return what turns one configuration into another one."""
    return ConfigurationChanges(
        new.version,
        new.transaction_idle_s,
        _changed(old.route_by_database, new.route_by_database),
        _changed(old.group_by_name, new.group_by_name),
        _changed(old.limit_by_workspace, new.limit_by_workspace),
        _changed(old.workspace_by_key, new.workspace_by_key),
        _changed(old.regions_by_workspace, new.regions_by_workspace),
        _removed(old.route_by_database, new.route_by_database),
        _removed(old.group_by_name, new.group_by_name),
        _removed(old.limit_by_workspace, new.limit_by_workspace),
        _removed(old.workspace_by_key, new.workspace_by_key),
        _removed(old.regions_by_workspace, new.regions_by_workspace),
    )


def apply_changes(
    old: FleetConfiguration, changes: ConfigurationChanges
) -> FleetConfiguration:
    """Return the configuration that results, which shares unchanged entries."""
    return FleetConfiguration(
        changes.version,
        _merged(
            old.route_by_database, changes.route_by_database, changes.removed_databases
        ),
        _merged(old.group_by_name, changes.group_by_name, changes.removed_groups),
        _merged(
            old.limit_by_workspace, changes.limit_by_workspace, changes.removed_limits
        ),
        _merged(old.workspace_by_key, changes.workspace_by_key, changes.removed_keys),
        changes.transaction_idle_s,
        _merged(
            old.regions_by_workspace,
            changes.regions_by_workspace,
            changes.removed_regions,
        ),
    )


def _changed(old: Mapping[str, V], new: Mapping[str, V]) -> dict[str, V]:
    return {key: value for key, value in new.items() if old.get(key) != value}


def _removed(old: Mapping[str, V], new: Mapping[str, V]) -> tuple[str, ...]:
    return tuple(key for key in old if key not in new)


def _merged(
    old: Mapping[str, V], changed: Mapping[str, V], removed: tuple[str, ...]
) -> dict[str, V]:
    merged = {**old, **changed}
    for key in removed:
        merged.pop(key, None)
    return merged
