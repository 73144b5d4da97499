"""First message of a caller's session."""

from typing import NamedTuple


class OpenSession(NamedTuple):
    """Database and key of the caller; the key is empty if none was given."""

    database: str
    key: str
