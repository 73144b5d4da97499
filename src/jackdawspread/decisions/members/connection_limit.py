"""Share of a member's connections that one instance may open."""


def connection_limit(max_connections: int, instances: int) -> int:
    """Return the connections that each of some instances may hold to a member."""
    return max(1, max_connections // max(1, instances))
