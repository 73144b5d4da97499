"""Plan of a complete run."""

from collections.abc import Mapping
from typing import NamedTuple

from bench.faults.timed_fault import TimedFault
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.load_plan import LoadPlan


class RunPlan(NamedTuple):
    """Deployment, load, faults by time, and experiment options of the proxies."""

    deployment: DeploymentPlan
    load: LoadPlan
    faults: tuple[TimedFault, ...]
    experiment: Mapping[str, str]
