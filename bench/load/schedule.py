"""Seeded open-loop schedule."""

from random import Random

from bench.load.choose_operation import choose_operation
from bench.load.scheduled_operation import ScheduledOperation
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.load_plan import LoadPlan


def make_schedule(
    deployment: DeploymentPlan, load: LoadPlan
) -> list[ScheduledOperation]:
    """Return operations with exponential gaps, bounded in count and time.

    Callers are numbered workspace by workspace.
    """
    random = Random(load.seed)
    databases = [database.name for database in deployment.databases]
    shares = [workspace.load_share for workspace in deployment.workspaces]
    per_workspace = load.callers_per_workspace
    callers = per_workspace * len(shares)
    schedule: list[ScheduledOperation] = []
    due = random.expovariate(load.rate)
    while due < load.duration and len(schedule) < load.max_operations:
        workspace = random.choices(range(len(shares)), weights=shares)[0]
        caller = workspace * per_workspace + random.randrange(per_workspace)
        operation_id = f"r{load.seed}-{len(schedule)}"
        operation = choose_operation(
            deployment.name, random, operation_id, caller, callers
        )
        database = random.choice(databases)
        schedule.append(
            ScheduledOperation(operation_id, due, caller, database, operation)
        )
        due += random.expovariate(load.rate)
    return schedule
