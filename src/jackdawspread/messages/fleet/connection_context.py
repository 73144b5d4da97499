"""Session state of a member connection."""

from typing import NamedTuple


class ConnectionContext(NamedTuple):
    """Session values and prepared templates of a member connection.

    Parameters
    ----------
    value_by_name : dict
        Session values that are set on the connection.
    templates : frozenset of (bool, str)
        Prepared templates: whether the template writes, and the template.
    """

    value_by_name: dict[str, str]
    templates: frozenset[tuple[bool, str]]


EMPTY_CONTEXT = ConnectionContext({}, frozenset())
# What a connection holds after a rolled back transaction that set values is not
# known; no session has a value without a name, so its next use begins with a reset.
UNKNOWN_CONTEXT = ConnectionContext({"": ""}, frozenset())
