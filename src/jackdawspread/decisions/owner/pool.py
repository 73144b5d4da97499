"""Rules for the connection pool of one member."""

from jackdawspread.decisions.owner.pool_state import PoolState

CONTROL_CONNECTIONS = 1
# The member may still count a connection that this instance has just closed.
RESERVE_CONNECTIONS = 1
RESERVE_FROM_LIMIT = 4
# Opening takes 10 to 30 ms, longer than most statements.
MIN_IDLE_CONNECTIONS = 2
IDLE_CHECK_SECONDS = 5.0


def pool_capacity(pool: PoolState) -> int:
    """Return how many connections besides the control connection may be open."""
    reserve = RESERVE_CONNECTIONS if pool.limit >= RESERVE_FROM_LIMIT else 0
    return max(0, pool.limit - CONTROL_CONNECTIONS - reserve)


def in_flight(pool: PoolState) -> int:
    """Return how many statements are in flight at the member."""
    uses = list(pool.use_by_id.values())
    return uses.count("statement") + uses.count("transaction_statement")


def has_free_slot(pool: PoolState) -> bool:
    """Return whether one more statement may be sent to the member."""
    return in_flight(pool) < pool.slots


def acquire_idle(pool: PoolState, use: str) -> int | None:
    """Assign a use to the most recently used idle connection; None if none is idle."""
    if not pool.idle_since_by_id:
        return None
    id, _ = pool.idle_since_by_id.popitem()
    pool.use_by_id[id] = use
    return id


def release(pool: PoolState, id: int, now: float) -> None:
    """Make a connection idle after its answer has arrived."""
    del pool.use_by_id[id]
    pool.idle_since_by_id[id] = now


def remove_connection(pool: PoolState, id: int) -> None:
    """Remove a closed connection."""
    pool.use_by_id.pop(id, None)
    pool.idle_since_by_id.pop(id, None)


def connections_to_open(pool: PoolState, min_idle: int) -> int:
    """Return how many connections to open to keep at least ``min_idle`` idle."""
    opening = sum(use == "opening" for use in pool.use_by_id.values())
    idle = len(pool.idle_since_by_id)
    missing = max(MIN_IDLE_CONNECTIONS, min_idle) - idle - opening
    headroom = pool_capacity(pool) - idle - len(pool.use_by_id)
    return max(0, min(missing, headroom))


def surplus_connections(pool: PoolState) -> list[int]:
    """Return the idle connections that exceed the limit and must be closed."""
    excess = len(pool.idle_since_by_id) + len(pool.use_by_id) - pool_capacity(pool)
    return list(pool.idle_since_by_id)[: max(0, excess)]


def connections_to_check(pool: PoolState, now: float) -> list[int]:
    """Return the connections whose idle time calls for a check."""
    since = pool.idle_since_by_id.items()
    return [id for id, at in since if now - at >= IDLE_CHECK_SECONDS]
