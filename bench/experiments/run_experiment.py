"""Carries out experiments."""

from collections.abc import Callable
from functools import singledispatch

from bench.experiments.fleet_experiment import FleetExperiment
from bench.experiments.measure_relay import measure_relay
from bench.experiments.relay_experiment import RelayExperiment
from bench.runs.list_failures import list_failures
from bench.runs.run_deployment import run_deployment
from bench.runs.run_plan import RunPlan
from bench.runs.summarize_policy import summarize_policy
from bench.runs.summary import Row, summarize

Print = Callable[[str], None]


@singledispatch
async def run_experiment(experiment: object, show: Print) -> list[Row]:
    """Carry out an experiment and return one row for each variant."""
    raise TypeError(f"no such experiment: {type(experiment).__name__}")


@run_experiment.register
async def _(experiment: FleetExperiment, show: Print) -> list[Row]:
    rows: list[Row] = []
    for variant in experiment.variants:
        show(f"variant {variant.name}")
        faults = experiment.faults if variant.faults is None else variant.faults
        plan = RunPlan(
            variant.deployment or experiment.deployment,
            variant.load or experiment.load,
            faults,
            variant.options,
            experiment.probes_age,
        )
        result = await run_deployment(plan, show)
        failures = list_failures(result)
        for line in failures:
            show(f"VIOLATED: {line}")
        row: Row = {"variant": variant.name, "violations": len(failures)}
        rows.append(row | summarize(result) | summarize_policy(plan, result))
    return rows


@run_experiment.register
async def _(experiment: RelayExperiment, show: Print) -> list[Row]:
    return await measure_relay(experiment, show)
