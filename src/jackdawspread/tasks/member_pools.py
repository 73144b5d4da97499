"""Connection pools of one owner."""

from jackdawspread.decisions.owner.pool import (
    acquire_idle,
    connections_to_check,
    connections_to_open,
    has_free_slot,
    in_flight,
    release,
    remove_connection,
    surplus_connections,
)
from jackdawspread.decisions.owner.pool_maintenance_call import PoolMaintenanceCall
from jackdawspread.decisions.owner.pool_state import PoolState
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.tasks.connection_manager import ConnectionManager

CONNECT_SECONDS = 0.3
CHECK_SECONDS = 0.3
# Delay before the next attempt at a member that refused a connection; equal to the
# probe interval.
REOPEN_SECONDS = 0.1


class MemberPools:
    """Owns the connection pools of the members.

    Parameters
    ----------
    settings : DatabaseSettings
        The database.
    incarnation : str
        Id of this process start, by which members identify the instance.
    connections : ConnectionManager
        Makes the calls.
    """

    def __init__(
        self,
        settings: DatabaseSettings,
        incarnation: str,
        connections: ConnectionManager,
    ) -> None:
        self._incarnation = incarnation
        self._connections = connections
        self._pool_by_address = {
            address: PoolState(address, 0, settings.slots, {}, {})
            for address in settings.member_addresses
        }
        self._reopen_at_by_address = dict.fromkeys(settings.member_addresses, 0.0)
        self._min_idle_by_address = dict.fromkeys(settings.member_addresses, 0)

    def set_limit(self, limit: int) -> None:
        """Set the limit of this instance's connections to one member."""
        for address, pool in self._pool_by_address.items():
            self._pool_by_address[address] = pool._replace(limit=limit)

    def set_min_idle(self, address: str, connections: int) -> None:
        """Set the least number of idle connections to keep; 0 for the default."""
        self._min_idle_by_address[address] = connections

    def is_free(self, address: str) -> bool:
        """Return whether a statement can be sent to the member now."""
        pool = self._pool_by_address[address]
        return bool(pool.idle_since_by_id) and has_free_slot(pool)

    def has_any_free_slot(self) -> bool:
        """Return whether one more statement may be sent to any member."""
        return any(has_free_slot(pool) for pool in self._pool_by_address.values())

    def has_free_slot(self, address: str) -> bool:
        """Return whether one more statement may be sent to the member."""
        return has_free_slot(self._pool_by_address[address])

    def in_flight(self, address: str) -> int:
        """Return how many statements are in flight at the member."""
        return in_flight(self._pool_by_address[address])

    def acquire(self, address: str, use: str) -> int | None:
        """Return an idle connection for a use, or None if there is none."""
        return acquire_idle(self._pool_by_address[address], use)

    def set_use(self, address: str, connection: int, use: str) -> None:
        """Change the use of an acquired connection."""
        self._pool_by_address[address].use_by_id[connection] = use

    def release(self, address: str, connection: int, now: float) -> None:
        """Return a connection to its pool after its answer has arrived."""
        release(self._pool_by_address[address], connection, now)

    def close(self, address: str, connection: int) -> None:
        """Close a connection and remove it from its pool."""
        remove_connection(self._pool_by_address[address], connection)
        self._connections.close(connection)

    def is_unused(self) -> bool:
        """Return whether no connection is in use."""
        return not any(pool.use_by_id for pool in self._pool_by_address.values())

    def maintain(self, now: float) -> None:
        """Open, check and close connections as needed."""
        for address, pool in self._pool_by_address.items():
            for connection in surplus_connections(pool):
                self.close(address, connection)
            for connection in connections_to_check(pool, now):
                del pool.idle_since_by_id[connection]
                pool.use_by_id[connection] = "check"
                self._call(address, connection, "/status", {}, now + CHECK_SECONDS)
            if now >= self._reopen_at_by_address[address]:
                min_idle = self._min_idle_by_address[address]
                for _ in range(connections_to_open(pool, min_idle)):
                    self._open(pool, now)

    def handle_outcome(
        self, call: PoolMaintenanceCall, outcome: HttpOutcome, now: float
    ) -> None:
        """Handle the outcome of a connection's set-up or check."""
        if outcome.status == 200:
            self.release(call.address, call.connection, now)
            return
        self.close(call.address, call.connection)
        self._reopen_at_by_address[call.address] = now + REOPEN_SECONDS

    def _open(self, pool: PoolState, now: float) -> None:
        connection = self._connections.open(pool.address)
        pool.use_by_id[connection] = "opening"
        body = {"instance": self._incarnation}
        deadline = now + CONNECT_SECONDS
        self._call(pool.address, connection, "/connect", body, deadline)

    def _call(
        self,
        address: str,
        connection: int,
        target: str,
        body: dict[str, str],
        deadline: float,
    ) -> None:
        call = PoolMaintenanceCall(address, connection)
        self._connections.call(connection, target, body, deadline, call)
