"""Duty that an instance holds."""

from typing import NamedTuple

from jackdawspread.decisions.succession.duty_record import DutyRecord


class HeldDuty(NamedTuple):
    """Duty that this instance holds.

    Parameters
    ----------
    name : str
        Name of the record.
    version : int
        Version of the record.
    record : DutyRecord
        Its content.
    held_until : float
        Time in seconds, counting suspension, until which others keep away.
    """

    name: str
    version: int
    record: DutyRecord
    held_until: float
