"""Rules of rate spending that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change."""

    debit_granter: bool = True
    count_against_cap: bool = True
    use_grant_once: bool = True
    discard_late_grant: bool = True
    count_grant_ticks: int = 2
