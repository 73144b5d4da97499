"""Rules of session tokens that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change."""

    token_names_term: bool = True
    member_checks_token: bool = True
    confirm_before_acknowledging: bool = True
    reads_advance_to_confirmed_only: bool = True
