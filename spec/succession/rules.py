"""Rules of the succession that mutants switch off."""

from typing import NamedTuple


class Rules(NamedTuple):
    """Bounds, and steps and checks of the protocol that mutants change.

    ``demotes`` lets a holder of the lock demote the primary. ``await_effect`` keeps a
    request in the record until its promotion has taken effect. ``end_by_claim`` takes
    requests for ended once the member of one claims to be the primary, as the code did
    before it asked for a proof.
    """

    max_entries: int = 2
    max_tokens: int = 3
    demotes: bool = False
    pause_all_replicas: bool = True
    check_pauses: bool = True
    choose_most_advanced: bool = True
    fence_orders: bool = True
    keep_lock_after_order: bool = True
    prefer_ordered: bool = True
    stop_when_lock_expired: bool = True
    keep_requested_primary: bool = True
    resume_ordered_only: bool = True
    await_effect: bool = True
    end_by_claim: bool = False
