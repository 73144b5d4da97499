"""Limit of the connections that one instance may open to a member."""

# Fraction of a member's connections that stays free, so that the connections of a
# killed or a new instance fit until the other instances adjust their limits.
RESERVED_FRACTION = 0.25
# Least number of free connections for each instance. After a power failure of all
# instances a member still counts the lost connections for some seconds, and the
# restarted instances can use only those that were free before.
RESERVED_CONNECTIONS_PER_INSTANCE = 2


def connection_limit(max_connections: int, instances: int) -> int:
    """Return how many connections each of ``instances`` may open to a member."""
    instances = max(1, instances)
    usable = min(
        int((1 - RESERVED_FRACTION) * max_connections),
        max_connections - RESERVED_CONNECTIONS_PER_INSTANCE * instances,
    )
    return max(1, usable // instances)
