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
# Fraction of a member's connections that its pool hosts keep open while they are idle.
# The rest serves the instances that can't reach a pool host, and those that restart
# while the member still counts the connections of their predecessors.
HOSTED_FRACTION = 0.6


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
    """Return the limits of each of ``instances`` that don't share connections."""
    instances = max(1, instances)
    reserved = min(
        int((1 - UNRESERVED_FRACTION) * max_connections),
        max_connections - UNRESERVED_CONNECTIONS_PER_INSTANCE * instances,
    )
    idle = max(0, reserved // instances)
    return ConnectionLimits(max(1, idle, int(OPEN_FRACTION * max_connections)), idle)


def pool_host_limits(
    max_connections: int, hosts: int, is_host: bool
) -> ConnectionLimits:
    """Return the limits of an instance in a fleet in which ``hosts`` share connections.

    An instance that is not a host opens connections only when it can't reach one, and
    keeps none of them.
    """
    idle = int(HOSTED_FRACTION * max_connections) // max(1, hosts) if is_host else 0
    return ConnectionLimits(max(1, idle, int(OPEN_FRACTION * max_connections)), idle)
