"""Options of a member, a stand-in for a database server."""

from typing import NamedTuple


class MemberOptions(NamedTuple):
    """Name, schema, limits and simulated delays of a member.

    Parameters
    ----------
    name : str
        Name of the member.
    schema : str
        SQL that creates the tables.
    slots : int
        Greatest number of statements that run at the same time.
    connections : int
        Greatest number of open connections.
    connect_ms, service_ms : float
        Milliseconds that it takes to open a connection and to run a statement.
    replication_lag_ms : float
        Milliseconds between the arrival of an entry at a replica and its
        application to the tables.
    network_delay_ms : float
        One-way latency in milliseconds, added to each answer.
    """

    name: str
    schema: str
    slots: int = 2
    connections: int = 16
    connect_ms: float = 10.0
    service_ms: float = 0.0
    replication_lag_ms: float = 0.0
    network_delay_ms: float = 0.0
