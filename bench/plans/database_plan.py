"""Plan of one database."""

from typing import NamedTuple


class DatabasePlan(NamedTuple):
    """Name and capacity of a database.

    Parameters
    ----------
    name : str
        Name of the database.
    members : int
        Number of members.
    slots : int
        Statements that one member runs at a time.
    connections : int
        Connections that one member accepts.
    member_options : tuple of str
        Further options of the member stand-in.
    """

    name: str
    members: int
    slots: int
    connections: int
    member_options: tuple[str, ...]
