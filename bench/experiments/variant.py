"""Variant of an experiment."""

from typing import NamedTuple

from bench.faults.timed_fault import TimedFault
from bench.plans.deployment_plan import DeploymentPlan
from bench.plans.load_plan import LoadPlan


class Variant(NamedTuple):
    """What differs from the experiment's other variants.

    Parameters
    ----------
    name : str
        Name of the variant.
    options : dict of str to str
        Options of the section ``[experiment]`` of every instance.
    faults : tuple of TimedFault, optional
        Faults instead of those of the experiment.
    deployment : DeploymentPlan, optional
        Deployment instead of that of the experiment.
    load : LoadPlan, optional
        Load instead of that of the experiment.
    """

    name: str
    options: dict[str, str]
    faults: tuple[TimedFault, ...] | None = None
    deployment: DeploymentPlan | None = None
    load: LoadPlan | None = None
