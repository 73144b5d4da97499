"""Refusal of a member connection by a pool host."""

from typing import NamedTuple

from jackdawspread.messages.refusal import Refusal


class LeaseRefused(NamedTuple):
    """Refuses a requested lease; nothing has run for it."""

    lease: int
    refusal: Refusal
