"""Leased connection to a member that is no longer in the list."""

from typing import NamedTuple

from jackdawspread.tasks.members.pooled_connection import PooledConnection


class OrphanedConnection(NamedTuple):
    """Connection that stays open until its lease is returned.

    Parameters
    ----------
    connection : PooledConnection
        The connection.
    failure_domain : str
        Failure domain of the member, which may be evacuated later.
    """

    connection: PooledConnection
    failure_domain: str
