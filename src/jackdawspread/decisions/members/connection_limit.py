"""Share of a member's connections that one instance may open."""

# Part that stays free, so that the connections of a killed or new instance fit in
# while the others learn of it.
FREE_PART = 0.25
# Connections for each instance that stay free at least. After a loss of power of
# all instances a member counts the lost connections for some seconds more, and the
# restarted instances have only what was free.
RESTART_CONNECTIONS = 2


def connection_limit(max_connections: int, instances: int) -> int:
    """Return the connections that each of some instances may hold to a member."""
    instances = max(1, instances)
    usable = min(
        int((1 - FREE_PART) * max_connections),
        max_connections - RESTART_CONNECTIONS * instances,
    )
    return max(1, usable // instances)
