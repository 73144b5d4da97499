"""Settings of one database."""

from typing import NamedTuple


class DatabaseSettings(NamedTuple):
    """Where a database's members are and what they can carry.

    Parameters
    ----------
    name : str
        Name of the database.
    member_addresses : tuple of str
        ``IP:port`` of each member.
    slots : int
        Statements that one member runs at a time.
    connections : int
        Connections that one member accepts.
    """

    name: str
    member_addresses: tuple[str, ...]
    slots: int
    connections: int
