"""Configuration that operators have accepted."""

from typing import NamedTuple

from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit


class FleetConfiguration(NamedTuple):
    """One version of the whole configuration.

    Parameters
    ----------
    version : int
        Increases with each change, in uneven steps.
    route_by_database : dict
        Routes by the name of their database.
    group_by_name : dict
        Member groups by name.
    limit_by_workspace : dict
        Rate limits by workspace.
    workspace_by_key : dict
        Workspaces by each of their keys.
    transaction_idle_s : float
        Time after which an idle transaction may be ended.
    """

    version: int
    route_by_database: dict[str, DatabaseRoute]
    group_by_name: dict[str, MemberGroup]
    limit_by_workspace: dict[str, WorkspaceLimit]
    workspace_by_key: dict[str, str]
    transaction_idle_s: float
