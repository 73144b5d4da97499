"""Plan of a complete run."""

from collections.abc import Mapping
from typing import NamedTuple

from bench.faults.timed_fault import TimedFault
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.load_plan import LoadPlan


class RunPlan(NamedTuple):
    """Deployment, load, faults by time, and experiment options of the proxies.

    ``probes_age`` adds a writer and readers that check the stated age.
    """

    deployment: DeploymentPlan
    load: LoadPlan
    faults: tuple[TimedFault, ...]
    experiment: Mapping[str, str]
    probes_age: bool = False
