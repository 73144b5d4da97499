"""A replica joins, at once or at the next promotion request."""

from typing import NamedTuple


class JoinReplica(NamedTuple):
    """A replica joins, at once or at the next promotion request."""

    at_request: bool
