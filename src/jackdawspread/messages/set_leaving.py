"""Change of a database's leaving flag."""

from typing import NamedTuple


class SetLeaving(NamedTuple):
    """Sets or clears the flag that a database is leaving."""

    database: str
    is_leaving: bool
