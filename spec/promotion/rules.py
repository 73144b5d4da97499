"""Rules of promotion that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change.

    ``log_bound`` bounds the model: no client writes to a log of that length.
    """

    majority: int = 2
    choose_most_advanced: bool = True
    open_once: bool = True
    prepare_refuses_lower_terms: bool = True
    truncate_diverged_tail: bool = True
    confirm_needs_position: bool = True
    confirm_needs_last_term: bool = True
    confirm_needs_no_newer_promise: bool = True
    log_bound: int = 4
