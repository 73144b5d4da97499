"""Decides when a primary may have to be replaced."""

from jackdawspread.decisions.members.group_view import GroupView
from jackdawspread.decisions.succession.suspicion import is_stalled
from jackdawspread.messages.fleet.primary_suspected import PrimarySuspected

# Members report a change of their role at once, so a list without a primary for
# this long is no passing state.
LEADERLESS_S = 0.8


def suspect_primary(
    group: str, view: GroupView | None, now: float
) -> PrimarySuspected | None:
    """Return the doubt about the primary of a group, None if there is none."""
    if view is None:
        return None
    primary = view.primary
    if not primary:
        since = view.leaderless_since
        if not view.listing_by_id or not since or now - since < LEADERLESS_S:
            return None
        return PrimarySuspected(group, "", False, False, "no member leads")
    if view.suspicion.failures > 0:
        return PrimarySuspected(group, primary, False, False, "unreachable")
    if is_stalled(view.suspicion):
        return PrimarySuspected(group, primary, False, True, "writes not confirmed")
    listing = view.listing_by_id.get(primary)
    if listing is not None and listing.leaving:
        return PrimarySuspected(group, primary, True, False, "leaving")
    return None
