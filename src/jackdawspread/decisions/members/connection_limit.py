"""Share of a member's connections that one instance may open."""

# Part that stays free: a member counts the connections of an instance that lost
# power for some seconds more, and the restarted instance needs others meanwhile.
FREE_PART = 0.25


def connection_limit(max_connections: int, instances: int) -> int:
    """Return the connections that each of some instances may hold to a member."""
    usable = int((1 - FREE_PART) * max_connections)
    return max(1, usable // max(1, instances))
