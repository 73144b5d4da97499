"""Adoption and settling of views."""

from jackdawspread.decisions.control_state import NEVER, ControlState
from jackdawspread.decisions.control_step import ControlStep
from jackdawspread.decisions.control_timing import SETTLE_S
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember


def decode_view(value: dict[str, object]) -> View:
    """Return the view that a row of the platform holds."""
    members = value.get("members", {})
    epoch = value.get("epoch", 0)
    assert isinstance(members, dict) and isinstance(epoch, int)
    return View(epoch, {name: ViewMember(*pair) for name, pair in members.items()})


def encode_view(view: View) -> dict[str, object]:
    """Return the row that holds a view."""
    members = {
        name: list(member) for name, member in view.member_by_incarnation.items()
    }
    return {"epoch": view.epoch, "members": members}


def adopt_view(state: ControlState, view: View, now: float) -> ControlStep:
    """Add a view read from the platform, if it is newer.

    An instance that was removed joins again as a new incarnation, so that its
    old seats and shares stay with nobody.
    """
    if view.epoch <= state.view.epoch:
        return state, ()
    was_member = state.is_member
    heard = {
        name: state.heard_at_by_incarnation.get(name, now)
        for name in view.member_by_incarnation
    }
    addresses = {
        name: member.peer_address
        for known in (*state.views, view)
        for name, member in known.member_by_incarnation.items()
    }
    state = state._replace(
        address_by_incarnation=addresses,
        views=(*state.views, view),
        view_seen_at=now,
        proposal=None,
        vouched_at_by_incarnation={},
        platform_vouched_at=NEVER,
        heard_at_by_incarnation=heard,
    )
    if was_member and not state.is_member and not state.is_leaving:
        root = state.incarnation.partition(".")[0]
        restarts = state.restarts + 1
        state = state._replace(restarts=restarts, incarnation=f"{root}.{restarts}")
    members = len(view.member_by_incarnation)
    line = f"control: adopted view epoch={view.epoch} members={members}"
    return state, (ControlLog(f"{line} member={state.is_member}"),)


def settle_views(state: ControlState, now: float) -> ControlState:
    """Drop the older views once nobody can use a share of them.

    By time, every authority of an older epoch has lapsed. Earlier, all members
    of the older views must be known to have left them; that needs a settled
    first view and no gap, or an unseen view could have other members.
    """
    if state.is_base_settled and len(state.views) == 1:
        return state
    if now >= state.view_seen_at + SETTLE_S or _all_heard(state):
        return state._replace(views=(state.view,), is_base_settled=True)
    return state


def _all_heard(state: ControlState) -> bool:
    epochs = [view.epoch for view in state.views]
    if not state.is_base_settled or epochs != list(range(epochs[0], epochs[-1] + 1)):
        return False
    older = {name for view in state.views[:-1] for name in view.member_by_incarnation}
    return all(
        state.epoch_by_incarnation.get(name, 0) >= state.view.epoch
        for name in older - {state.incarnation}
    )
