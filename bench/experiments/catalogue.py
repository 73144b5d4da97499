"""All experiments."""

from bench.experiments.fleet_experiment import FleetExperiment
from bench.experiments.relay_experiment import RelayExperiment
from bench.experiments.variant import Variant
from bench.faults.kill_primary import KillPrimary
from bench.faults.member_fault import MemberFault
from bench.faults.timed_fault import TimedFault
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.deployments import SALTBUSH, SAOMAI, SINGLE
from bench.plans.load_plan import LoadPlan

SEED = 1
LOAD = LoadPlan(200.0, 30.0, 10_000, 5, SEED)
# One workspace sends eight times its rate of 40/s, the seven others half of theirs.
FLOOD_RATE, FLOOD_BURST = 40.0, 20
FLOOD_LOAD = LoadPlan(460.0, 30.0, 20_000, 20, SEED)


def _variants(option: str, *values: str) -> tuple[Variant, ...]:
    return tuple(Variant(value, {option: value}) for value in values)


def _flooded(plan: DeploymentPlan) -> DeploymentPlan:
    workspaces = tuple(
        workspace._replace(
            rate=FLOOD_RATE, burst=FLOOD_BURST, load_share=1.0 if index else 16.0
        )
        for index, workspace in enumerate(plan.workspaces)
    )
    return plan._replace(workspaces=workspaces)


def _experiments(plan: DeploymentPlan) -> tuple[FleetExperiment, ...]:
    kills = tuple(
        TimedFault(6.0 + 8.0 * index, KillPrimary(database.name))
        for index, database in enumerate(plan.databases)
    )
    late = {"replication_lag_ms": 5_000}
    lag = (TimedFault(5.0, MemberFault(f"{plan.databases[0].name}-3", late)),)
    flooded, flood = _flooded(plan), FLOOD_LOAD
    queueing = _variants("queueing", "fair", "fifo")
    rates = _variants("rates", "borrow", "even")
    pooling = _variants("pooling", "owner", "independent")
    preparation = _variants("preparation", "on", "off")
    replicas = _variants("replica_reads", "on", "off")
    make, name = FleetExperiment, plan.name
    return (
        make(f"queueing-{name}", flooded, flood, queueing, (), "worst_share"),
        make(f"rates-{name}", flooded, flood, rates, (), "refused"),
        make(f"pooling-{name}", plan, LOAD, pooling, (), "write_p99_ms"),
        make(f"preparation-{name}", plan, LOAD, preparation, kills, "failover_gap_s"),
        make(f"replica-reads-{name}", plan, LOAD, replicas, lag, "replica_share"),
    )


RELAY = RelayExperiment("relay", SINGLE, SEED, 3, 8, 5.0, 2_600, "statements_per_s")
FLEET_EXPERIMENTS = _experiments(SALTBUSH) + _experiments(SAOMAI)
EXPERIMENT_BY_NAME: dict[str, FleetExperiment | RelayExperiment] = {
    RELAY.name: RELAY,
    **{experiment.name: experiment for experiment in FLEET_EXPERIMENTS},
}
