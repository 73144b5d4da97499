"""Adoption and settling of views."""

from itertools import pairwise
from typing import Any

from jackdawspread.decisions.control.control_state import NEVER, ControlState
from jackdawspread.decisions.control.control_step import ControlStep
from jackdawspread.decisions.control.control_timing import SETTLE_S
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember

# An instance that lags by more epochs has no share until it settles by time.
EARLIER_VIEWS = 16
UNKNOWN_VIEW = View(0, {})


def decode_views(value: dict[str, Any]) -> tuple[View, ...]:
    """Return the views that a row of the platform holds, the newest last."""
    members = {name: ViewMember(*pair) for name, pair in value["members"].items()}
    views = [View(int(value["epoch"]), members)]
    for change in value.get("earlier", ()):
        members = {k: v for k, v in members.items() if k not in change["joined"]}
        for name, pair in change["left"].items():
            members[name] = ViewMember(*pair)
        views.append(View(views[-1].epoch - 1, members))
    return tuple(reversed(views))


def encode_view(view: View, earlier: tuple[View, ...] = ()) -> dict[str, object]:
    """Return the row that holds a view and the views of earlier epochs.

    Earlier views are stored as what each change of view added and removed, the
    newest first, because every instance reads the row once a second.
    """
    kept = (*earlier[-EARLIER_VIEWS:], view)
    changes = [_encode_change(old, new) for old, new in pairwise(kept)]
    members = _encode_members(view.member_by_incarnation)
    return {"epoch": view.epoch, "members": members, "earlier": changes[::-1]}


def _encode_change(old: View, new: View) -> dict[str, object]:
    before, after = old.member_by_incarnation, new.member_by_incarnation
    left = {name: member for name, member in before.items() if name not in after}
    return {
        "joined": [name for name in after if name not in before],
        "left": _encode_members(left),
    }


def _encode_members(members: dict[str, ViewMember]) -> dict[str, list[str]]:
    return {name: list(member) for name, member in members.items()}


def adopt_view(
    state: ControlState, view: View, now: float, earlier: tuple[View, ...] = ()
) -> ControlStep:
    """Add a view read from the platform, if it is newer.

    The views of the epochs that this instance skipped count too, because their
    members may still use the shares of these epochs. If ``earlier`` does not
    reach back to them, a view without members stands for those that are unknown.

    An instance that was removed joins again as a new incarnation, so that its
    old seats and shares stay with nobody.
    """
    if view.epoch <= state.view.epoch:
        return state, ()
    views = _with_skipped(state.views, view, earlier)
    was_member = state.is_member
    heard = {
        name: state.last_contact_at_by_incarnation.get(name, now)
        for name in view.member_by_incarnation
    }
    addresses = {
        name: member.peer_address
        for known in views
        for name, member in known.member_by_incarnation.items()
    }
    state = state._replace(
        address_by_incarnation=addresses,
        views=views,
        view_seen_at=now,
        proposal=None,
        voted_at_by_incarnation={},
        platform_epoch_read_at=NEVER,
        last_contact_at_by_incarnation=heard,
    )
    if was_member and not state.is_member and not state.is_leaving:
        state = _renew_incarnation(state)
    members = len(view.member_by_incarnation)
    line = f"control: adopted view epoch={view.epoch} members={members}"
    return state, (ControlLog(f"{line} member={state.is_member}"),)


def _with_skipped(
    known: tuple[View, ...], view: View, earlier: tuple[View, ...]
) -> tuple[View, ...]:
    skipped = tuple(old for old in earlier if old.epoch > known[-1].epoch)
    views = (*known, *skipped, view)
    if not _is_gapless(views) and views[0] != UNKNOWN_VIEW:
        return (UNKNOWN_VIEW, *views)
    return views


def _renew_incarnation(state: ControlState) -> ControlState:
    root = state.incarnation.partition(".")[0]
    restarts = state.restarts + 1
    return state._replace(restarts=restarts, incarnation=f"{root}.{restarts}")


def settle_views(state: ControlState, now: float) -> ControlState:
    """Drop the older views once nobody can use a share of them.

    By time, every authority of an older epoch has lapsed. Earlier, all members
    of the older views must be known to have left them; that needs views without a
    gap, or an unknown view could have other members.
    """
    if len(state.views) == 1:
        return state
    if now >= state.view_seen_at + SETTLE_S or _all_heard(state):
        return state._replace(views=(state.view,))
    return state


def _is_gapless(views: tuple[View, ...]) -> bool:
    return all(old.epoch + 1 == new.epoch for old, new in pairwise(views))


def _all_heard(state: ControlState) -> bool:
    older = {name for view in state.views[:-1] for name in view.member_by_incarnation}
    return _is_gapless(state.views) and all(
        state.epoch_by_incarnation.get(name, 0) >= state.view.epoch
        for name in older - {state.incarnation}
    )
