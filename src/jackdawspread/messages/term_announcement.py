"""Term in force at a database."""

from typing import NamedTuple


class TermAnnouncement(NamedTuple):
    """Tells that a primary was opened in a term.

    Sent by owners to the control task, between instances, and back to owners.
    """

    database: str
    term: int
    primary_address: str
