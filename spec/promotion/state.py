"""State of the promotion model."""

from typing import NamedTuple

from spec.promotion.member import Member
from spec.promotion.term import Term


class State(NamedTuple):
    """Members and terms.

    ``replaced`` records that a write was acknowledged in a term although a newer
    primary without that write was open.
    """

    members: tuple[Member, ...]
    terms: tuple[Term, ...]
    replaced: bool
