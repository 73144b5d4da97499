"""Memory that one connection holds."""

from collections.abc import Callable

from trio import CancelScope, current_time

from jackdawspread.decisions.limits.connection_load import ConnectionLoad

Changed = Callable[["MemoryAccount", int], None]


class MemoryAccount:
    """States what a connection holds; only its task and the budget use it.

    Parameters
    ----------
    part : str
        Kind of the connection in logs and metrics.
    idle_bytes : int
        Memory of a connection that holds no message.
    changed : callable
        Called with the account and the change of its memory in bytes.
    """

    def __init__(self, part: str, idle_bytes: int, changed: Changed) -> None:
        self.part = part
        self.idle_bytes = idle_bytes
        # The connection's task runs in this scope, and the budget ends it.
        self.scope = CancelScope()
        # Monotonic time in seconds since which no complete first message, or next
        # request, has arrived; None while the connection is in use.
        self.waiting_since: float | None = current_time()
        self._load = ConnectionLoad(0, 0.0, False)
        self._changed = changed

    @property
    def load(self) -> ConnectionLoad:
        """What the connection holds beyond its idle memory."""
        return self._load

    def hold(self, held_bytes: int, is_running: bool = False) -> None:
        """State what the connection holds now."""
        before = self._load
        since = before.held_since if before.held_bytes else current_time()
        self._load = ConnectionLoad(held_bytes, since, is_running)
        if held_bytes != before.held_bytes:
            self._changed(self, held_bytes - before.held_bytes)
