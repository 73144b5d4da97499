"""Connections to one member."""

from typing import NamedTuple


class PoolState(NamedTuple):
    """Connections by id, and the use of each one.

    Parameters
    ----------
    address : str
        ``IP:port`` of the member.
    limit : int
        Connections that this instance may have open to the member, including the
        control connection.
    slots : int
        Statements that may be in flight at the member.
    idle_since_by_id : dict of int to float
        Idle connections and the monotonic time in seconds of their last use.
    use_by_id : dict of int to str
        Other connections: ``opening``, ``statement``, ``confirm``, ``check``,
        ``transaction`` (pinned, no statement in flight) or
        ``transaction_statement``.
    """

    address: str
    limit: int
    slots: int
    idle_since_by_id: dict[int, float]
    use_by_id: dict[int, str]
