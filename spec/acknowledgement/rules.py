"""Rules of the acknowledgements that mutants switch off."""

from typing import NamedTuple

from spec.acknowledgement.attempt import FAILOVER, SWITCHOVER, WITHDRAWAL


class Rules(NamedTuple):
    """Bounds, and steps and checks of the protocol that mutants change."""

    kinds: tuple[str, ...] = (FAILOVER, SWITCHOVER, WITHDRAWAL)
    max_tokens: int = 2
    max_term: int = 3
    max_commits: int = 1
    max_departures: int = 0
    joins: bool = False
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
