"""First message of a caller's session."""

from typing import NamedTuple


class OpenSession(NamedTuple):
    """Names the database and carries the caller's key, empty if none was given."""

    database: str
    key: str
