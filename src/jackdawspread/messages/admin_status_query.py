"""Question for the state of the control side."""

from typing import NamedTuple


class AdminStatusQuery(NamedTuple):
    """Asks for configuration, members, seats, terms and authority."""

    id: str
