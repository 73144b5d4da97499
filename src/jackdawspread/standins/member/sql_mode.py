"""Mode that selects the rules of the SQL authorizer."""

from enum import Enum, auto


class SqlMode(Enum):
    """Whether a statement belongs to the member itself, a read or a write."""

    INTERNAL = auto()
    READ = auto()
    WRITE = auto()
