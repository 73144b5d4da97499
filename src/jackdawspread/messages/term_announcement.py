"""Announcement of a database's current term."""

from typing import NamedTuple


class TermAnnouncement(NamedTuple):
    """Announces that a member was opened as the primary in a term.

    Owners send it to the control task, instances send it to each other, and the
    control task sends it to its owners.
    """

    database: str
    term: int
    primary_address: str
