"""Change of a database's leaving mark."""

from typing import NamedTuple


class SetLeaving(NamedTuple):
    """Marks a database as leaving, or takes the mark back."""

    database: str
    is_leaving: bool
