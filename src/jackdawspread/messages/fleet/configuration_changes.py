"""Difference between two configurations."""

from typing import NamedTuple

from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit


class ConfigurationChanges(NamedTuple):
    """Turns one configuration into another one.

    Parameters
    ----------
    version : int
        Version of the resulting configuration.
    transaction_idle_s : float
        Time in seconds after which an idle transaction may be rolled back.
    route_by_database, group_by_name, limit_by_workspace, workspace_by_key, \
regions_by_workspace : dict
        Entries that are added or replaced.
    removed_databases, removed_groups, removed_limits, removed_keys, removed_regions : \
tuple of str
        Keys of the entries that are removed from these.
    """

    version: int
    transaction_idle_s: float
    route_by_database: dict[str, DatabaseRoute]
    group_by_name: dict[str, MemberGroup]
    limit_by_workspace: dict[str, WorkspaceLimit]
    workspace_by_key: dict[str, str]
    regions_by_workspace: dict[str, frozenset[str]]
    removed_databases: tuple[str, ...]
    removed_groups: tuple[str, ...]
    removed_limits: tuple[str, ...]
    removed_keys: tuple[str, ...]
    removed_regions: tuple[str, ...]
