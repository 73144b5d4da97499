"""Time for which a statement may wait for a member."""

from jackdawspread.messages.fleet.database_route import DatabaseRoute

# Part of a statement's time after which what is left may not suffice to run it.
MAX_HOLD_PART = 0.45


def hold_time_s(route: DatabaseRoute) -> float:
    """Return for how long a statement may wait for a member that may serve it.

    Beyond the latency target the answer is late in any case, and a caller that knows
    that nothing has run can try another instance while it has time left.
    """
    return min(route.latency_target_s, MAX_HOLD_PART * route.statement_timeout_s)
