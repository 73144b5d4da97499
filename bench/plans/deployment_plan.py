"""Plan of a deployment."""

from typing import NamedTuple

from bench.plans.database_plan import DatabasePlan
from bench.plans.workspace_plan import WorkspacePlan


class DeploymentPlan(NamedTuple):
    """Processes of a deployment, its workspaces and its distances.

    Parameters
    ----------
    name : str
        Name of the deployment, which also selects the tables and the load.
    databases : tuple of DatabasePlan
        Databases to start.
    instances : int
        Number of entry instances.
    workspaces : tuple of WorkspacePlan
        Workspaces to create.
    client_delay : float
        Seconds from a caller to an instance, one way.
    starts_platform : bool
        Whether the platform stand-in runs.
    failure_domains : tuple of str
        Failure domains over which instances and members are spread.
    """

    name: str
    databases: tuple[DatabasePlan, ...]
    instances: int
    workspaces: tuple[WorkspacePlan, ...]
    client_delay: float
    starts_platform: bool = True
    failure_domains: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
