"""Protocol of minicheck over NamedTuple states."""

from typing import Any

from minicheck import Protocol


class StateProtocol(Protocol):  # type: ignore[misc]
    """Passes the NamedTuple state itself to the invariants, not a dictionary of it."""

    def d(self, s: Any) -> Any:
        """Return the state unchanged."""
        return s
