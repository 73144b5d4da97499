"""Seat of this instance at a database."""

from typing import NamedTuple


class OwnerAssignment(NamedTuple):
    """Sent by the control task to the owner of a database on each change.

    Parameters
    ----------
    database : str
        Name of the database.
    generation : int
        Generation of the seats; part of every term of this seat.
    rank : int
        0, 1 or 2; -1 if this instance holds no seat.
    is_active : bool
        Whether this seat is the first one whose holder is alive.
    connection_limit : int
        Connections to one member that this instance may hold.
    """

    database: str
    generation: int
    rank: int
    is_active: bool
    connection_limit: int
