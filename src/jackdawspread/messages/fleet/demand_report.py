"""Demand of the workspaces at this instance."""

from typing import NamedTuple


class DemandReport(NamedTuple):
    """Operations per second asked for, and the limits they count against.

    Parameters
    ----------
    rate_by_workspace : dict
        Operations per second that arrived lately.
    limit_by_workspace : dict
        Rate limits in operations per second.
    starved : bool
        Whether an operation within the limit was refused for lack of a share.
    """

    rate_by_workspace: dict[str, float]
    limit_by_workspace: dict[str, float]
    starved: bool
