"""Sharing of a member's connections among statements."""

from jackdawspread.decisions.owner.pool_state import PoolState

CONTROL_CONNECTIONS = 1
# The member may still count a connection that was just closed here.
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
    """Return whether the member may get one more statement."""
    return in_flight(pool) < pool.slots


def take_idle(pool: PoolState, use: str) -> int | None:
    """Take the most recently used idle connection, or None if there is none."""
    if not pool.idle_since_by_id:
        return None
    id, _ = pool.idle_since_by_id.popitem()
    pool.use_by_id[id] = use
    return id


def release(pool: PoolState, id: int, now: float) -> None:
    """Return a connection whose answer has arrived to the idle ones."""
    del pool.use_by_id[id]
    pool.idle_since_by_id[id] = now


def forget(pool: PoolState, id: int) -> None:
    """Remove a closed connection."""
    pool.use_by_id.pop(id, None)
    pool.idle_since_by_id.pop(id, None)


def connections_to_open(pool: PoolState, wanted: int) -> int:
    """Return how many connections to open for ``wanted`` waiting uses."""
    opening = sum(use == "opening" for use in pool.use_by_id.values())
    idle = len(pool.idle_since_by_id)
    missing = max(MIN_IDLE_CONNECTIONS, wanted) - idle - opening
    room = pool_capacity(pool) - idle - len(pool.use_by_id)
    return max(0, min(missing, room))


def surplus_connections(pool: PoolState) -> list[int]:
    """Return idle connections beyond the limit, which must be closed."""
    excess = len(pool.idle_since_by_id) + len(pool.use_by_id) - pool_capacity(pool)
    return list(pool.idle_since_by_id)[: max(0, excess)]


def connections_to_check(pool: PoolState, now: float) -> list[int]:
    """Return the connections that have been idle for too long to be trusted."""
    since = pool.idle_since_by_id.items()
    return [id for id, at in since if now - at >= IDLE_CHECK_SECONDS]
