"""Plans of the two current deployments."""

from bench.plans.database_plan import DatabasePlan
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.workspace_plan import WorkspacePlan

WORKSPACE_RATE = 200.0
WORKSPACE_BURST = 100
# Not given by the design page: the service time makes a member of Saltbush good
# for 1,000 statements/s; the lag exceeds every network delay, so that a replica
# is visibly behind.
SERVICE_MS = 2
REPLICATION_LAG_MS = 20


def _databases(
    names: tuple[str, ...], slots: int, connections: int, connect_ms: int, delay: float
) -> tuple[DatabasePlan, ...]:
    options = (
        f"--connect-ms={connect_ms}",
        f"--service-ms={SERVICE_MS}",
        f"--replication-lag-ms={REPLICATION_LAG_MS}",
        f"--network-delay-ms={delay}",
    )
    return tuple(DatabasePlan(name, 3, slots, connections, options) for name in names)


def _workspaces(prefix: str, shares: tuple[int, ...]) -> tuple[WorkspacePlan, ...]:
    return tuple(
        WorkspacePlan(f"{prefix}{n}", WORKSPACE_RATE, WORKSPACE_BURST, 1.0, share)
        for n, share in enumerate(shares, 1)
    )


SALTBUSH = DeploymentPlan(
    name="saltbush",
    databases=_databases(("swap1", "swap2", "swap3"), 2, 16, 10, 1.5),
    instances=4,
    workspaces=_workspaces("garden", (4, 3, 2, 1, 1, 1, 1, 1)),
    client_delay=0.003,
)
SAOMAI = DeploymentPlan(
    name="saomai",
    databases=_databases(("credit1", "credit2", "credit3"), 5, 60, 30, 0.5),
    instances=4,
    workspaces=_workspaces("branch", (1,) * 8),
    client_delay=0.001,
)
DEPLOYMENT_BY_NAME = {plan.name: plan for plan in (SALTBUSH, SAOMAI)}

# One instance before one database, to measure what the instance costs by itself.
# Three members, since an owner opens a primary only with a majority of promises.
SINGLE = DeploymentPlan(
    name="saltbush",
    databases=(DatabasePlan("swap1", 3, 64, 256, ("--service-ms=0",)),),
    instances=1,
    workspaces=(WorkspacePlan("garden1", 1e6, 1_000_000, 1.0, 1.0),),
    client_delay=0.0,
)
