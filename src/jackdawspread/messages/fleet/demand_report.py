"""Demand of the workspaces at this instance."""

from typing import NamedTuple


class DemandReport(NamedTuple):
    """Rate of requested operations by workspace, with the limits that apply.

    Parameters
    ----------
    rate_by_workspace : dict
        Recent arrivals in operations per second.
    limit_by_workspace : dict
        Rate limits in operations per second.
    is_starved : bool
        Whether this instance ran out of tokens for an operation since the last
        report.
    """

    rate_by_workspace: dict[str, float]
    limit_by_workspace: dict[str, float]
    is_starved: bool
