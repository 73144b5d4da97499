"""Limits of the connections that one instance has to a member."""

from typing import NamedTuple

# Fraction of a member's connections that no instance keeps open while it is idle, so
# that they can be opened where they are needed.
UNRESERVED_FRACTION = 0.25
# Least number of these connections for each instance. After a power failure of all
# instances a member still counts the lost connections for some seconds, and the
# restarted instances can use only those that were free before.
UNRESERVED_CONNECTIONS_PER_INSTANCE = 2
# Fraction of a member's connections that one instance opens at most. What all instances
# need together is bounded by the member, which refuses a connection above its limit
# before anything has run.
OPEN_FRACTION = 0.25


class ConnectionLimits(NamedTuple):
    """Limits for one member.

    Parameters
    ----------
    open : int
        Number of connections that this instance may have open.
    idle : int
        Number of them that it keeps open while no request uses them.
    """

    open: int
    idle: int


def connection_limits(max_connections: int, instances: int) -> ConnectionLimits:
    """Return the limits of each of ``instances``.

    Connections follow the demand. With many instances none may keep an idle connection:
    an equal part would be smaller than what one transaction needs.
    """
    instances = max(1, instances)
    reserved = min(
        int((1 - UNRESERVED_FRACTION) * max_connections),
        max_connections - UNRESERVED_CONNECTIONS_PER_INSTANCE * instances,
    )
    idle = max(0, reserved // instances)
    return ConnectionLimits(max(1, idle, int(OPEN_FRACTION * max_connections)), idle)
