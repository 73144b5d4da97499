"""Admission of an operation."""

from typing import NamedTuple

from jackdawspread.messages.fleet.database_route import DatabaseRoute


class OperationAdmitted(NamedTuple):
    """Permits an operation to start, and gives its route and workspace.

    Parameters
    ----------
    route : DatabaseRoute
        Current route of the database.
    workspace : str
        Workspace that owns the caller's key; empty for a public route without a key.
    version : int
        Version of the configuration on which the decision is based.
    age_s : float
        Time in seconds since the store last confirmed that version.
    transaction_idle_s : float
        Time in seconds after which an idle transaction may be rolled back.
    allowed_regions : frozenset of str
        Regions in which the operation may run; any region if empty.
    newest_version : int
        Newest version that is known to exist.
    """

    route: DatabaseRoute
    workspace: str
    version: int
    age_s: float
    transaction_idle_s: float
    allowed_regions: frozenset[str] = frozenset()
    newest_version: int = 0
