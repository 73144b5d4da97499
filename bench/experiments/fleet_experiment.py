"""Experiment on a whole deployment."""

from typing import NamedTuple

from bench.experiments.variant import Variant
from bench.faults.timed_fault import TimedFault
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.load_plan import LoadPlan


class FleetExperiment(NamedTuple):
    """Runs the same load and faults once for each variant of the proxy.

    Parameters
    ----------
    name : str
        Name of the experiment and of its result files.
    deployment : DeploymentPlan
        What to start.
    load : LoadPlan
        Load, with the seed.
    variants : tuple of Variant
        One row each.
    faults : tuple of TimedFault
        Faults by time.
    metric : str
        Column to plot.
    probes_age : bool
        Whether to check the stated age.
    """

    name: str
    deployment: DeploymentPlan
    load: LoadPlan
    variants: tuple[Variant, ...]
    faults: tuple[TimedFault, ...]
    metric: str
    probes_age: bool = False
