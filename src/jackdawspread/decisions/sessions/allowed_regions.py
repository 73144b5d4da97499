"""Regions in which the operations of a workspace may run."""

from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration


def allowed_regions(
    configuration: FleetConfiguration, route: DatabaseRoute, workspace: str
) -> frozenset[str] | None:
    """Return the regions that both the route and the workspace allow.

    An empty set allows any region. None means that no region is allowed by both.
    """
    of_route = route.allowed_regions
    of_workspace = configuration.regions_by_workspace.get(workspace, frozenset())
    if not of_route or not of_workspace:
        return of_route or of_workspace
    return of_route & of_workspace or None
