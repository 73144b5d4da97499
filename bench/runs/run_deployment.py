"""Carries out a complete run."""

from collections.abc import Callable

from trio import current_time, open_nursery, sleep_until

from bench.check.check_run import check_run
from bench.check.read_database import read_database, read_log_texts
from bench.faults.applied_fault import AppliedFault
from bench.faults.apply_fault import apply_fault
from bench.faults.cut_primary import CutPrimary
from bench.faults.freeze_primary import FreezePrimary
from bench.faults.kill_primary import KillPrimary
from bench.faults.timed_fault import TimedFault
from bench.launch.fleet import Fleet, open_fleet
from bench.load.age_probe import AgeProbe, AgeReport
from bench.load.load_run import LoadRun
from bench.load.schedule import make_schedule
from bench.load.seed_databases import seed_databases
from bench.runs.create_callers import create_callers
from bench.runs.progress import show_progress
from bench.runs.read_counters import read_counters
from bench.runs.run_plan import RunPlan
from bench.runs.run_result import RunResult

Print = Callable[[str], None]
PRIMARY_FAULTS = (CutPrimary, FreezePrimary, KillPrimary)


async def run_deployment(plan: RunPlan, show: Print) -> RunResult:
    """Start a deployment, load and disturb it, check the promises, and end it.

    Parameters
    ----------
    plan : RunPlan
        What to run.
    show : callable
        Takes lines of progress.
    """
    async with open_fleet(plan.deployment, plan.experiment) as fleet:
        show(f"started {plan.deployment.name}; creating workspaces and tables")
        profiles = await create_callers(fleet, plan.load.callers_per_workspace)
        addresses = [a.caller for a in fleet.layout.instance_by_name.values()]
        databases = [database.name for database in plan.deployment.databases]
        name, key, callers = plan.deployment.name, profiles[0].key, len(profiles)
        await seed_databases(name, databases, addresses[0], key, callers)
        schedule = make_schedule(plan.deployment, plan.load)
        entries = plan.load.entries(addresses)
        load = LoadRun(schedule, profiles, entries, plan.deployment.client_delay)
        ages = AgeReport()
        faults: list[AppliedFault] = []
        async with open_nursery() as nursery:
            nursery.start_soon(show_progress, load, faults, show)
            nursery.start_soon(_apply_faults, fleet, plan.faults, faults, show)
            if plan.probes_age:
                probe = AgeProbe(addresses, databases[0], key)
                await probe.create_table()
                nursery.start_soon(probe.run)
            await load.run()
            if plan.probes_age:
                ages = probe.report
            nursery.cancel_scope.cancel()
        await fleet.heal()
        counters = await read_counters(fleet)
        # The checker needs connections of the members, which the instances hold.
        crashed = fleet.processes.crashed()
        killed = await fleet.stop_instances()
        contents = {name: await read_database(fleet, name) for name in databases}
        texts, unread = await read_log_texts(fleet)
        records = load.ledger.records
        report = check_run(records, contents, texts, unread, faults)
        return RunResult(records, faults, report, killed, crashed, counters, ages)


async def _apply_faults(
    fleet: Fleet,
    timed: tuple[TimedFault, ...],
    applied: list[AppliedFault],
    show: Print,
) -> None:
    start = current_time()
    for at, fault in timed:
        await sleep_until(start + at)
        description = await apply_fault(fault, fleet)
        database = fault.database if isinstance(fault, PRIMARY_FAULTS) else ""
        now = current_time() - start
        applied.append(AppliedFault(now, description, database))
        show(f"{now:5.1f} s  fault: {description}")
