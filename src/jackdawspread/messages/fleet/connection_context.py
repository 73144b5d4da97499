"""Session state that is set on a member connection."""

from typing import NamedTuple


class ConnectionContext(NamedTuple):
    """Session values and prepared statement templates of a member connection.

    Parameters
    ----------
    value_by_name : dict
        Session values that are set on the connection.
    templates : frozenset of (bool, str)
        Prepared statements: whether the statement writes, and its template.
    """

    value_by_name: dict[str, str]
    templates: frozenset[tuple[bool, str]]


EMPTY_CONTEXT = ConnectionContext({}, frozenset())
# Stands for the unknown state of a connection after the rollback of a transaction
# that set session values. No session has a value with an empty name, so this state
# never matches and the next use of the connection begins with a reset.
UNKNOWN_CONTEXT = ConnectionContext({"": ""}, frozenset())
