"""Opens a database connection for a named instance."""

from typing import NamedTuple


class Connect(NamedTuple):
    """Opens a database connection for a named instance."""

    instance: str
