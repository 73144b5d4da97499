"""State of a connection of a member."""

from typing import NamedTuple


class ConnectionRecord(NamedTuple):
    """State of a connection.

    Parameters
    ----------
    instance : str
        Name that the caller gave in `/connect`; empty before that call.
    is_silent : bool
        Whether the fault `silent` suppresses all answers on the connection.
    """

    instance: str = ""
    is_silent: bool = False
