"""Difference between two configurations."""

from typing import NamedTuple

from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit


class ConfigurationChanges(NamedTuple):
    """Turns one configuration into another one.

    The mappings hold the entries that are added or replaced, by the keys that they
    have in a configuration. The keys of removed entries follow.

    Parameters
    ----------
    version : int
        Version of the resulting configuration.
    transaction_idle_s : float
        Time in seconds after which an idle transaction may be rolled back.
    route_by_database : dict
        Routes.
    group_by_name : dict
        Member groups.
    limit_by_workspace : dict
        Rate limits.
    workspace_by_key : dict
        Workspaces by the keys of their callers.
    regions_by_workspace : dict
        Regions in which the statements of workspaces may run.
    removed_databases : tuple of str
        Databases whose routes are removed.
    removed_groups : tuple of str
        Names of removed groups.
    removed_limits : tuple of str
        Workspaces that have no rate limit any more.
    removed_keys : tuple of str
        Withdrawn keys.
    removed_regions : tuple of str
        Workspaces that are not restricted any more.
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
