"""Experiment on the cost of one entry instance."""

from typing import NamedTuple

from bench.plans.deployment_plan import DeploymentPlan


class RelayExperiment(NamedTuple):
    """Compares an instance with a bare relay and with the member itself.

    Parameters
    ----------
    name : str
        Name of the experiment and of its result files.
    deployment : DeploymentPlan
        One instance before one member.
    seed : int
        Seed of the gaps between calls.
    workers : int
        Load processes.
    connections : int
        Connections of each load process.
    seconds : float
        Duration of each measurement.
    idle_connections : int
        Idle caller connections for the measurement of memory.
    metric : str
        Column to plot.
    """

    name: str
    deployment: DeploymentPlan
    seed: int
    workers: int
    connections: int
    seconds: float
    idle_connections: int
    metric: str
