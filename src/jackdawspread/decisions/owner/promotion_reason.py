"""Reasons for replacing the primary."""

from jackdawspread.decisions.owner.promotion_state import PromotionState

MISSES_TO_REPLACE = 2
# If a replica received a message from the primary this recently, the fault may lie
# between the owner and the primary, so one more missed probe is needed.
UPSTREAM_FRESH_SECONDS = 0.3
STATUS_FRESH_SECONDS = 0.5
# Another owner's promotion takes less than this if nothing fails.
NEWER_PROMISE_TIMEOUT_SECONDS = 0.3


def promotion_reason(state: PromotionState, now: float) -> str:
    """Return why a promotion should start now; empty if it should not."""
    if state.rank < 0 or not (state.is_active or state.has_recent_requests):
        return ""
    if now < state.retry_at:
        return ""
    if state.promotion_term > state.term and state.promotion_term >= state.promised:
        return "own promotion unfinished"
    if not state.primary:
        return _reason_without_primary(state)
    if state.is_primary_refusing_connections:
        return "primary refuses connections"
    needed = MISSES_TO_REPLACE + _is_primary_reachable_from_replicas(state, now)
    if state.misses_by_member.get(state.primary, 0) >= needed:
        return "primary missed probes"
    return _reason_of_newer_promise(state, now)


def has_primary_in(state: PromotionState, term: int) -> bool:
    """Return whether a reachable member is the primary of ``term`` or a later term."""
    return any(
        status.role == "primary"
        and status.term >= term
        and not state.misses_by_member.get(status.address, 0)
        for status in state.status_by_member.values()
    )


def _is_primary_reachable_from_replicas(state: PromotionState, now: float) -> bool:
    return any(
        status.address != state.primary
        and status.upstream_age < UPSTREAM_FRESH_SECONDS
        and now - status.probe_sent_at < STATUS_FRESH_SECONDS
        for status in state.status_by_member.values()
    )


def _reason_without_primary(state: PromotionState) -> str:
    for member in state.members:
        misses = state.misses_by_member.get(member, 0)
        if member not in state.status_by_member and misses < MISSES_TO_REPLACE:
            return ""
    if 2 * len(state.status_by_member) <= len(state.members):
        return ""
    return "" if has_primary_in(state, state.promised) else "no primary"


def _reason_of_newer_promise(state: PromotionState, now: float) -> str:
    if not state.is_active or state.promised <= state.term:
        return ""
    if now - state.promised_since < NEWER_PROMISE_TIMEOUT_SECONDS:
        return ""
    if has_primary_in(state, state.promised):
        return ""
    return "a member promised a newer term without a primary"
