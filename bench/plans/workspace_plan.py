"""Plan of one workspace."""

from typing import NamedTuple


class WorkspacePlan(NamedTuple):
    """Limits of a workspace and its share of the load.

    Parameters
    ----------
    name : str
        Name of the workspace.
    rate : float
        Requests per second that the workspace may send.
    burst : int
        Requests that it may send at once.
    weight : float
        Weight in fair queueing.
    load_share : float
        Relative share of the generated load.
    """

    name: str
    rate: float
    burst: int
    weight: float
    load_share: float
