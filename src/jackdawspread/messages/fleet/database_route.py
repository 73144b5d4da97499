"""Route of a database."""

from typing import NamedTuple

from jackdawspread.messages.fleet.consistency import Consistency


class DatabaseRoute(NamedTuple):
    """Where the statements for a database go.

    Parameters
    ----------
    database : str
        Name that callers use.
    group : str
        Group of members that holds the data.
    consistency : Consistency
        Freshness that reads need.
    max_staleness_s : float
        Age that a read may have, for bounded and session routes.
    statement_timeout_s : float
        Longest time for one statement.
    latency_target_s : float
        Time within which callers want a whole operation answered.
    priority : int
        0 is the highest.
    public : bool
        Whether callers need no key.
    """

    database: str
    group: str
    consistency: Consistency
    max_staleness_s: float
    statement_timeout_s: float
    latency_target_s: float
    priority: int
    public: bool
