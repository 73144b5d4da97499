"""Time for which a statement may wait for a member."""

from jackdawspread.messages.fleet.database_route import DatabaseRoute

# Part of a statement's time after which what is left may not suffice to run it.
MAX_CONNECTION_WAIT_FRACTION = 0.45


def connection_wait_s(route: DatabaseRoute) -> float:
    """Return for how long a statement may wait for a member that may serve it.

    Beyond the latency target the answer is late in any case, and a caller that knows
    that nothing has run can try another instance while it has time left.
    """
    return min(
        route.latency_target_s, MAX_CONNECTION_WAIT_FRACTION * route.statement_timeout_s
    )
