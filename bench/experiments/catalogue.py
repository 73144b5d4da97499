"""All experiments."""

from bench.experiments.fleet_experiment import FleetExperiment
from bench.experiments.relay_experiment import RelayExperiment
from bench.experiments.variant import Variant
from bench.faults.change_preset import ChangePreset
from bench.faults.cut_primary import CutPrimary
from bench.faults.freeze_primary import FreezePrimary
from bench.faults.freeze_process import FreezeProcess
from bench.faults.kill_primary import KillPrimary
from bench.faults.kill_process import KillProcess
from bench.faults.lag_replica import LagReplica
from bench.faults.member_fault import MemberFault
from bench.faults.platform_fault import PlatformFault
from bench.faults.thaw_process import ThawProcess
from bench.faults.timed_fault import TimedFault
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.deployments import SALTBUSH, SAOMAI, SINGLE
from bench.plans.load_plan import LoadPlan

SEED = 1
DURATION_S = 12.0
LOAD = LoadPlan(200.0, DURATION_S, 10_000, 5, SEED)
# At this service time 300 operations/s take 62% of a primary's two slots, so that
# the schedulers differ; with five slots the time is longer for the same reason.
SLOW_MS_BY_SLOTS = {2: 10, 5: 36}
SLOW_LOAD = LoadPlan(300.0, DURATION_S, 10_000, 20, SEED)
# All workspaces together take 67% of the primaries in the calm run; one of them at
# eight times its rate makes it 125%, so that the flood reaches the queue.
FLOOD_MS_BY_SLOTS = {2: 20, 5: 70}
CALM_LOAD = LoadPlan(160.0, DURATION_S, 10_000, 30, SEED)
FLOOD_LOAD = LoadPlan(300.0, DURATION_S, 10_000, 30, SEED)
FLOOD_RATE, FLOOD_BURST = 400.0, 200
# Each workspace sends 60% of its rate, most of it to the first instance.
SHARED_RATE, SHARED_BURST = 40.0, 20
SHARED_LOAD = LoadPlan(192.0, 14.0, 10_000, 5, SEED, (7, 1, 1, 1))
PROMOTION_LOAD = LoadPlan(200.0, 14.0, 10_000, 5, SEED)
PRESETS = ("ordinary", "peak", "maintenance")


def _variants(option: str, *values: str) -> tuple[Variant, ...]:
    return tuple(Variant(value, {option: value}) for value in values)


def _slow(plan: DeploymentPlan, ms_by_slots: dict[int, int]) -> DeploymentPlan:
    """Return the deployment with members whose slots are scarce."""
    databases = tuple(
        database._replace(
            member_options=(
                *database.member_options,
                f"--service-ms={ms_by_slots[database.slots]}",
            )
        )
        for database in plan.databases
    )
    return plan._replace(databases=databases)


def _limited(
    plan: DeploymentPlan, rate: float, burst: int, first_share: float = 1.0
) -> DeploymentPlan:
    """Return the deployment with equal limits and one larger share of the load."""
    workspaces = tuple(
        workspace._replace(
            rate=rate, burst=burst, load_share=1.0 if index else first_share
        )
        for index, workspace in enumerate(plan.workspaces)
    )
    return plan._replace(workspaces=workspaces)


def _queueing(plan: DeploymentPlan) -> FleetExperiment:
    slow = _slow(plan, FLOOD_MS_BY_SLOTS)
    calm = _limited(slow, FLOOD_RATE, FLOOD_BURST)
    variants = (
        Variant("calm", {"queueing": "fair"}, (), calm, CALM_LOAD),
        Variant("fair", {"queueing": "fair"}),
        Variant("fifo", {"queueing": "fifo"}),
        Variant("independent pools", {"pooling": "independent"}),
    )
    flooded = _limited(slow, FLOOD_RATE, FLOOD_BURST, 8.0)
    name, metric = f"queueing-{plan.name}", "worst_fair_share"
    return FleetExperiment(name, flooded, FLOOD_LOAD, variants, (), metric)


def _rates(plan: DeploymentPlan, name: str, *scenarios: str) -> FleetExperiment:
    frozen = (
        TimedFault(4.0, FreezeProcess("entry-2")),
        TimedFault(9.0, ThawProcess("entry-2")),
    )
    faults_by_name: dict[str, tuple[TimedFault, ...]] = {
        "skew": (),
        "death": (TimedFault(4.0, KillProcess("entry-2")),),
        "frozen": frozen,
        "outage": (TimedFault(2.0, PlatformFault({"mode": "down"})),),
    }
    variants = tuple(
        Variant(f"{rates}, {name}", {"rates": rates}, faults)
        for name, faults in faults_by_name.items()
        if name in scenarios
        for rates in ("borrow", "even")
    )
    limited, metric = _limited(plan, SHARED_RATE, SHARED_BURST), "rate_limited_share"
    name = f"{name}-{plan.name}"
    return FleetExperiment(name, limited, SHARED_LOAD, variants, (), metric)


def _preparation(plan: DeploymentPlan) -> FleetExperiment:
    makers = {"killed": KillPrimary, "cut": CutPrimary, "frozen": FreezePrimary}
    faults_by_name: dict[str, tuple[TimedFault, ...]] = {
        name: tuple(
            TimedFault(3.0 + 3.0 * index, make(database.name))
            for index, database in enumerate(plan.databases)
        )
        for name, make in makers.items()
    }
    outage = TimedFault(1.0, PlatformFault({"mode": "down"}))
    faults_by_name["killed, platform down"] = (outage, *faults_by_name["killed"])
    variants = tuple(
        Variant(f"{value}, {name}", {"preparation": value}, faults)
        for name, faults in faults_by_name.items()
        for value in ("off", "on")
    )
    name, metric = f"preparation-{plan.name}", "failover_gap_s"
    return FleetExperiment(name, plan, PROMOTION_LOAD, variants, (), metric)


def _presets(plan: DeploymentPlan) -> FleetExperiment:
    variants = tuple(
        Variant(name, {}, (TimedFault(0.0, ChangePreset(name)),)) for name in PRESETS
    )
    names = ("peak", "maintenance", "ordinary")
    changes = tuple(
        TimedFault(2.0 + 2.0 * index, ChangePreset(name))
        for index, name in enumerate(names)
    )
    variants += (Variant("changes", {}, changes),)
    slow = _slow(plan, FLOOD_MS_BY_SLOTS)
    flooded = _limited(slow, FLOOD_RATE, FLOOD_BURST, 8.0)
    name = f"presets-{plan.name}"
    return FleetExperiment(name, flooded, FLOOD_LOAD, variants, (), "goodput_per_s")


def _experiments(plan: DeploymentPlan) -> tuple[FleetExperiment, ...]:
    first, name = plan.databases[0], plan.name
    lag = (TimedFault(2.0, LagReplica(first.name, 5_000)),)
    slow = _slow(plan, SLOW_MS_BY_SLOTS)
    doubled = {"service_ms": 2 * SLOW_MS_BY_SLOTS[first.slots]}
    half_speed = tuple(
        TimedFault(3.0, MemberFault(f"{first.name}-{n}", doubled))
        for n in range(1, first.members + 1)
    )
    pooling = _variants("pooling", "owner", "independent")
    replicas = _variants("replica_reads", "on", "off")
    retries = _variants("retries", "budget", "plain")
    make = FleetExperiment
    return (
        make(f"replicas-{name}", plan, LOAD, replicas, lag, "replica_share", True),
        make(f"pooling-{name}", slow, SLOW_LOAD, pooling, (), "write_p99_ms"),
        _queueing(plan),
        _rates(plan, "rates", "skew", "outage"),
        _rates(plan, "rates-faults", "death", "frozen"),
        _preparation(plan),
        make(f"retries-{name}", slow, SLOW_LOAD, retries, half_speed, "goodput_per_s"),
        _presets(plan),
    )


RELAY = RelayExperiment("relay", SINGLE, SEED, 3, 8, 5.0, 2_600, "statements_per_s")
FLEET_EXPERIMENTS = _experiments(SALTBUSH) + _experiments(SAOMAI)
EXPERIMENT_BY_NAME: dict[str, FleetExperiment | RelayExperiment] = {
    RELAY.name: RELAY,
    **{experiment.name: experiment for experiment in FLEET_EXPERIMENTS},
}
