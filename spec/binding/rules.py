"""Rules of binding writes that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change."""

    look_up_record: bool = True
    replicate_record: bool = True
    confirm_first_run: bool = True
    confirm_replay: bool = True
    all_attempts_refused: bool = True
    not_found_is_unknown: bool = True
