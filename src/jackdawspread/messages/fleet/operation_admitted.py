"""Permission to start an operation."""

from typing import NamedTuple

from jackdawspread.messages.fleet.database_route import DatabaseRoute


class OperationAdmitted(NamedTuple):
    """Route and workspace of an admitted operation.

    Parameters
    ----------
    route : DatabaseRoute
        Route in force.
    workspace : str
        Workspace that holds the key; empty on a public route without one.
    version : int
        Version of the configuration that decided.
    age_s : float
        Time since the store last confirmed that version.
    transaction_idle_s : float
        Time after which an idle transaction may be ended.
    """

    route: DatabaseRoute
    workspace: str
    version: int
    age_s: float
    transaction_idle_s: float
