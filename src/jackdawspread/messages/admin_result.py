"""Outcome of an operator's request."""

from typing import NamedTuple

from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.refusal import Refusal


class AdminResult(NamedTuple):
    """Outcome of the operator's request with this id."""

    id: str
    outcome: AdminAnswer | Refusal | LostRace
