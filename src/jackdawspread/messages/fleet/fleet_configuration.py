"""Configuration of routes, member groups and workspaces."""

from typing import NamedTuple

from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit


class FleetConfiguration(NamedTuple):
    """One version of the complete configuration.

    Parameters
    ----------
    version : int
        Increases with each change, but not always by 1.
    route_by_database : dict
        Routes by the name of the database.
    group_by_name : dict
        Member groups by name.
    limit_by_workspace : dict
        Rate limits by workspace.
    workspace_by_key : dict
        Workspaces by key; a workspace may have several keys.
    transaction_idle_s : float
        Time in seconds after which an idle transaction may be rolled back.
    regions_by_workspace : dict
        Regions in which the statements of a workspace may run, for the workspaces that
        are restricted.
    """

    version: int
    route_by_database: dict[str, DatabaseRoute]
    group_by_name: dict[str, MemberGroup]
    limit_by_workspace: dict[str, WorkspaceLimit]
    workspace_by_key: dict[str, str]
    transaction_idle_s: float
    regions_by_workspace: dict[str, frozenset[str]] = {}
