"""Rules of promotion that a mutant drops."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol.

    ``log_bound`` bounds the model: no client writes to a log of that length.
    """

    majority: int = 2
    choose_greatest: bool = True
    open_once: bool = True
    prepare_refuses_lower_terms: bool = True
    truncate_diverged_tail: bool = True
    confirm_needs_position: bool = True
    confirm_needs_last_term: bool = True
    confirm_needs_no_newer_promise: bool = True
    log_bound: int = 4
