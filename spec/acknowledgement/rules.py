"""Rules of the acknowledgements that mutants switch off."""

from typing import NamedTuple

from spec.acknowledgement.attempt import FAILOVER, SWITCHOVER, WITHDRAWAL


class Rules(NamedTuple):
    """Bounds, and steps and checks of the protocol that mutants change."""

    kinds: tuple[str, ...] = (FAILOVER, SWITCHOVER, WITHDRAWAL)
    max_tokens: int = 2
    max_term: int = 3
    max_commits: int = 1
    max_written_term: int = 3
    max_departures: int = 0
    joins: bool = False
    late_entries: bool = False
    all_confirm: bool = False
    other_writes: bool = False
    max_restarts: int = 0
    unlisted_departs: bool = False
    silent_primary: bool = False
    check_outstanding: bool = True
    verify_at_others_than_requested: bool = True
    verify_after_change: bool = True
    suspension_is_change: bool = True
    verify_own_term: bool = True
    verify_term: bool = True
    verify_without_permit: bool = True
    permit_needs_evidence: bool = True
    fence_failover: bool = True
    fence_switchover: bool = True
    fence_withdrawal: bool = True
    await_permits: bool = True
    skip_fence_despite_requests: bool = False
    record_withdrawal: bool = True
    check_primary_after_fence: bool = True
    end_needs_effect: bool = True
    keep_requests: bool = True
    keep_earlier_at_refusal: bool = True
    lists_are_current: bool = True
    write_needs_lock: bool = True
    decide_again: bool = False
    count_unlisted: bool = False
    count_unlisted_when_demoted: bool = True
    check_acknowledged: bool = False
    compare_demoted: bool = False
    await_fence_when_demoted: bool = False
    check_switchover: bool = True
    falls_back: bool = True
    fall_back_at_once: bool = False
    positions_at_fence: bool = True
    positions_of_all: bool = True
    certain_is_exact: bool = False
