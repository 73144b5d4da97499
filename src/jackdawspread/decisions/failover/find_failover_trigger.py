"""Detects reasons to replace the primary of a group."""

from jackdawspread.decisions.evacuations.evacuated_members import has_successor
from jackdawspread.decisions.failover.primary_health import is_stalled
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger

# Members report a change of their role at once, so a list that names no primary for
# this long is not a short transition.
NO_PRIMARY_TIMEOUT_S = 0.8
# Reason of the trigger for a primary in an evacuated failure domain.
EVACUATED = "evacuated"


def find_failover_trigger(
    group: str, state: GroupState | None, now: float
) -> FailoverTrigger | None:
    """Return the reason to replace the primary of a group, None if there is none."""
    if state is None:
        return None
    trigger = _find(group, state, now)
    if trigger is None:
        return None
    return trigger._replace(evacuated_domains=frozenset(state.work_until_by_domain))


def _find(group: str, state: GroupState, now: float) -> FailoverTrigger | None:
    primary = state.primary
    if not primary:
        since = state.no_primary_since
        if not state.listing_by_id or not since or now - since < NO_PRIMARY_TIMEOUT_S:
            return None
        return FailoverTrigger(group, "", False, False, "no primary known")
    if state.primary_health.failure_count > 0:
        return FailoverTrigger(group, primary, False, False, "unreachable")
    if is_stalled(state.primary_health):
        return FailoverTrigger(group, primary, False, True, "writes not confirmed")
    listing = state.listing_by_id.get(primary)
    if listing is not None and listing.leaving:
        return FailoverTrigger(group, primary, True, False, "leaving")
    domains = state.work_until_by_domain
    if (
        listing is not None
        and listing.failure_domain in domains
        and has_successor(state.listing_by_id.values(), domains, primary)
    ):
        return FailoverTrigger(group, primary, True, False, EVACUATED)
    return None
