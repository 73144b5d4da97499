"""Mode of the SQL authorizer."""

from enum import Enum, auto


class SqlMode(Enum):
    """Whether the member itself, a read or a write prepares a statement."""

    INTERNAL = auto()
    READ = auto()
    WRITE = auto()
