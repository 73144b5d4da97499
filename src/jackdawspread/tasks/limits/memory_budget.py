"""Memory of all connections of a process."""

from collections import Counter

from trio import current_time

from jackdawspread.decisions.limits.connections_to_close import connections_to_close
from jackdawspread.decisions.limits.memory_limits import MemoryLimits
from jackdawspread.tasks.limits.limit_log import LimitLog
from jackdawspread.tasks.limits.limit_metrics import (
    CONNECTIONS_CLOSED,
    CONNECTIONS_REFUSED,
    HELD_BYTES,
)
from jackdawspread.tasks.limits.memory_account import MemoryAccount

# A message of this size or less is refused only if no memory is left at all, so that
# ordinary callers are served while large messages are refused.
SMALL_BYTES = 64 * 1024
# Seconds for which a connection may wait for its client before a new one replaces it.
MIN_WAIT_S = 1.0
SHORT_OF_MEMORY = "short of memory"
TOO_MANY = "too many connections"


class MemoryBudget:
    """Limits the memory that the connections of a process hold.

    The composition root owns it. Every accepted connection has an account. When the
    accounts exceed the budget, the connections that hold most and progress least are
    closed.

    Parameters
    ----------
    limits : MemoryLimits
        Memory that all connections together may hold.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self._limits = limits
        self._held_bytes = 0
        self._account_by_id: dict[int, MemoryAccount] = {}
        self._count_by_part: Counter[str] = Counter()
        self._log = LimitLog()

    def open_account(self, part: str, idle_bytes: int) -> MemoryAccount:
        """Open the account of a new connection."""
        account = MemoryAccount(part, idle_bytes, self._change)
        self._account_by_id[id(account)] = account
        self._count_by_part[part] += 1
        self._change(account, idle_bytes)
        return account

    def close_account(self, account: MemoryAccount) -> None:
        """Free what an ended connection has held."""
        del self._account_by_id[id(account)]
        self._count_by_part[account.part] -= 1
        self._held_bytes -= account.idle_bytes + account.load.held_bytes
        HELD_BYTES.set(self._held_bytes)

    def count(self, *parts: str) -> int:
        """Return the number of open connections of some kinds."""
        return sum(self._count_by_part[part] for part in parts)

    def may_hold(self, more_bytes: int) -> bool:
        """Whether a message may be run or answered that takes more memory."""
        limit = self._limits.refuse_bytes
        if more_bytes <= SMALL_BYTES:
            limit = self._limits.close_bytes
        return self._held_bytes + more_bytes <= limit

    def make_room(self, part: str, min_wait_s: float = MIN_WAIT_S) -> bool:
        """Close the connection that has waited longest for its client, if any waits.

        One that has waited for less than ``min_wait_s`` stays, since the first message
        of an ordinary client may just be on its way. Returns whether one was closed,
        so that a new connection can take its place.
        """
        waiting_until = current_time() - min_wait_s
        waiting = [
            (account.waiting_since, id)
            for id, account in self._account_by_id.items()
            if account.part == part
            and account.waiting_since is not None
            and account.waiting_since <= waiting_until
            and not account.scope.cancel_called
        ]
        if not waiting:
            return False
        self.close(self._account_by_id[min(waiting)[1]], TOO_MANY)
        return True

    def refuse(self, part: str, reason: str, held_bytes: int = 0) -> None:
        """Count and log a connection or a message that is refused."""
        CONNECTIONS_REFUSED.labels(part, reason).inc()
        self._log.write(part, reason, held_bytes)

    def close(self, account: MemoryAccount, reason: str) -> None:
        """End a connection and count and log it."""
        if account.scope.cancel_called:
            return
        CONNECTIONS_CLOSED.labels(account.part, reason).inc()
        self._log.write(account.part, reason, account.load.held_bytes)
        account.scope.cancel()

    def _change(self, account: MemoryAccount, more_bytes: int) -> None:
        self._held_bytes += more_bytes
        HELD_BYTES.set(self._held_bytes)
        if more_bytes <= 0 or self._held_bytes <= self._limits.close_bytes:
            return
        load_by_id = {
            id: account.load
            for id, account in self._account_by_id.items()
            if not account.scope.cancel_called
        }
        closing = sum(
            account.idle_bytes + account.load.held_bytes
            for account in self._account_by_id.values()
            if account.scope.cancel_called
        )
        excess = self._held_bytes - closing - self._limits.close_bytes
        for id in connections_to_close(load_by_id, excess, current_time()):
            self.close(self._account_by_id[id], SHORT_OF_MEMORY)
