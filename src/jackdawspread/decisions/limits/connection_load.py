"""What one connection holds of the memory of a process."""

from typing import NamedTuple


class ConnectionLoad(NamedTuple):
    """Memory of a connection for a message or an answer that is not complete.

    Parameters
    ----------
    held_bytes : int
        Memory that the connection holds beyond that of an idle one.
    held_since : float
        Monotonic time in seconds since which it has held any.
    is_running : bool
        Whether its statement is being run. Its end frees the memory, and closing it
        would leave an unknown outcome, so it is not closed.
    """

    held_bytes: int
    held_since: float
    is_running: bool
