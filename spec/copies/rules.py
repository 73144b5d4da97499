"""Rules of copies between instances that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change."""

    digest_confirms_equal_configuration_only: bool = True
    digest_confirms_equal_evacuations_only: bool = True
    older_copies_are_ignored: bool = True
    reading_begins_at_what_is_held: bool = True
