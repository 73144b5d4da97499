"""Rules of a withdrawal that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Steps and checks of the protocol that mutants change."""

    stored_is_needed: bool = True
    change_quorum_is_needed: bool = True
    all_members_suffice: bool = True
    store_expects_own_epoch: bool = True
    vote_carries_withdrawal: bool = True
    view_change_stores_withdrawal: bool = True
    read_includes_withdrawals: bool = True
    promise_stops_confirming: bool = True
