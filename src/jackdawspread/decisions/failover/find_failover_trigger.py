"""Decides when a primary may have to be replaced."""

from jackdawspread.decisions.failover.primary_health import is_stalled
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger

# Members report a change of their role at once, so a list without a primary for
# this long is no passing state.
NO_PRIMARY_TIMEOUT_S = 0.8


def find_failover_trigger(
    group: str, view: GroupState | None, now: float
) -> FailoverTrigger | None:
    """Return the doubt about the primary of a group, None if there is none."""
    if view is None:
        return None
    primary = view.primary
    if not primary:
        since = view.no_primary_since
        if not view.listing_by_id or not since or now - since < NO_PRIMARY_TIMEOUT_S:
            return None
        return FailoverTrigger(group, "", False, False, "no member leads")
    if view.suspicion.failures > 0:
        return FailoverTrigger(group, primary, False, False, "unreachable")
    if is_stalled(view.suspicion):
        return FailoverTrigger(group, primary, False, True, "writes not confirmed")
    listing = view.listing_by_id.get(primary)
    if listing is not None and listing.leaving:
        return FailoverTrigger(group, primary, True, False, "leaving")
    return None
