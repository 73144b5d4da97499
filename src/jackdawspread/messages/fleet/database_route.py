"""Route of a database."""

from typing import NamedTuple

from jackdawspread.messages.fleet.consistency import Consistency


class DatabaseRoute(NamedTuple):
    """Settings by which statements for a database are routed.

    Parameters
    ----------
    database : str
        Name that callers use.
    group : str
        Group of members that holds the data.
    consistency : Consistency
        Consistency that reads require.
    max_staleness_s : float
        Maximum staleness of a read in seconds, for bounded and session routes.
    statement_timeout_s : float
        Time limit for one statement in seconds.
    latency_target_s : float
        Target for the latency of a complete operation in seconds.
    priority : int
        Priority of requests; 0 is the highest.
    public : bool
        Whether callers are served without a key.
    allowed_regions : frozenset of str
        Regions in which statements may run; any region if empty.
    """

    database: str
    group: str
    consistency: Consistency
    max_staleness_s: float
    statement_timeout_s: float
    latency_target_s: float
    priority: int
    public: bool
    allowed_regions: frozenset[str] = frozenset()
