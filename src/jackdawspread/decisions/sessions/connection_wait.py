"""Limit of the time for which a statement waits for a member connection."""

from jackdawspread.messages.fleet.database_route import DatabaseRoute

# Fraction of a statement's timeout. After a longer wait the remaining time may not
# suffice to run the statement.
MAX_CONNECTION_WAIT_FRACTION = 0.45


def connection_wait_s(route: DatabaseRoute) -> float:
    """Return the seconds for which a statement may wait for a member connection.

    After the latency target the answer is late in any case. A refusal at that time
    tells the caller that nothing has run, so that it can still try another instance.
    """
    return min(
        route.latency_target_s, MAX_CONNECTION_WAIT_FRACTION * route.statement_timeout_s
    )
