"""Options of a member."""

from typing import NamedTuple


class MemberOptions(NamedTuple):
    """Name, schema, limits and times of a member.

    Parameters
    ----------
    name : str
        Name of the member.
    schema : str
        SQL that creates the tables.
    slots : int
        Statements that run at the same time.
    connections : int
        Connections that may be open.
    connect_ms, service_ms : float
        Set-up time of a connection and service time of a statement.
    replication_lag_ms : float
        Time for which a replica holds an entry before it applies it.
    network_delay_ms : float
        One-way latency added to each answer.
    """

    name: str
    schema: str
    slots: int = 2
    connections: int = 16
    connect_ms: float = 10.0
    service_ms: float = 0.0
    replication_lag_ms: float = 0.0
    network_delay_ms: float = 0.0
