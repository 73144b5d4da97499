"""Settings of one database."""

from typing import NamedTuple


class DatabaseSettings(NamedTuple):
    """Addresses and capacity of the members of a database.

    Parameters
    ----------
    name : str
        Name of the database.
    member_addresses : tuple of str
        ``IP:port`` of each member.
    slots : int
        Statements that one member executes concurrently.
    connections : int
        Maximum number of connections of one member.
    """

    name: str
    member_addresses: tuple[str, ...]
    slots: int
    connections: int
