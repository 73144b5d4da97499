"""Rules of the evidence that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change."""

    count_departed: bool = True
    cover_departed: bool = True
    fence_primary: bool = True
    list_after_pauses: bool = True
    raise_pause_term: bool = True
    max_uncovered: int = 1
