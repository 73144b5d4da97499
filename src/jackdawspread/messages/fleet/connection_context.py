"""Session state that a member connection holds."""

from typing import NamedTuple


class ConnectionContext(NamedTuple):
    """Values and prepared shapes of a member connection.

    Parameters
    ----------
    value_by_name : dict
        Session values that are set on the connection.
    shapes : frozenset of (bool, str)
        Prepared shapes: whether they write, and the shape itself.
    """

    value_by_name: dict[str, str]
    shapes: frozenset[tuple[bool, str]]


EMPTY_CONTEXT = ConnectionContext({}, frozenset())
# What a connection holds after a rolled back transaction that set values is not
# known; no session has a value without a name, so its next use begins with a reset.
UNKNOWN_CONTEXT = ConnectionContext({"": ""}, frozenset())
