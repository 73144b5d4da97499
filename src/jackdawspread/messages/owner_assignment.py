"""Assignment of this instance as an owner of a database."""

from typing import NamedTuple


class OwnerAssignment(NamedTuple):
    """Assignment sent by the control task to a local owner on each change.

    A database has up to three owners, ordered by rank. The first live one is active,
    the others are on standby.

    Parameters
    ----------
    database : str
        Name of the database.
    generation : int
        Version of the list of owners; part of every term of these owners.
    rank : int
        0, 1 or 2; -1 if this instance is not an owner.
    is_active : bool
        Whether this instance is the first live owner.
    connection_limit : int
        Number of connections to one member that this instance may have.
    """

    database: str
    generation: int
    rank: int
    is_active: bool
    connection_limit: int
