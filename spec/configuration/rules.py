"""Rules of the configuration that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change."""

    compare_and_set: bool = True
    push_after_acceptance: bool = True
    ignore_lower_version: bool = True
    restart_reads_platform: bool = True
    row_keeps_write_ids: bool = True
    undecided_is_not_refused: bool = True
    conflict_is_read_back: bool = True
