"""Views: encoding in the platform's row, adoption and settling."""

from itertools import pairwise
from typing import Any

from jackdawspread.decisions.control.control_state import NEVER, ControlState
from jackdawspread.decisions.control.control_step import ControlStep
from jackdawspread.decisions.control.control_timing import VIEW_SETTLE_S
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember

# An instance that skips more epochs has no share until the view settles by time.
STORED_EARLIER_VIEWS = 16
UNKNOWN_EPOCHS_VIEW = View(0, {})


def decode_views(value: dict[str, Any]) -> tuple[View, ...]:
    """Return the views that a row of the platform holds, oldest first."""
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

    Every instance reads the row once a second. To keep it small, earlier views are
    stored as the members that each view change added and removed, newest first.
    """
    kept = (*earlier[-STORED_EARLIER_VIEWS:], view)
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

    The views of the epochs that this instance skipped are added too, because their
    members may still use the shares of these epochs. If ``earlier`` does not go back
    far enough, a view without members represents the unknown ones.

    An instance that was removed joins again as a new incarnation, so that no
    instance uses its old ranks and shares.
    """
    if view.epoch <= state.view.epoch:
        return state, ()
    views = _with_skipped(state.views, view, earlier)
    was_member = state.is_member
    last_contact_at = {
        name: state.last_contact_at_by_incarnation.get(name, now)
        for name in view.member_by_incarnation
    }
    addresses = {
        name: member.peer_address
        for known_view in views
        for name, member in known_view.member_by_incarnation.items()
    }
    state = state._replace(
        address_by_incarnation=addresses,
        views=views,
        view_seen_at=now,
        proposal=None,
        voted_at_by_incarnation={},
        platform_epoch_read_at=NEVER,
        last_contact_at_by_incarnation=last_contact_at,
    )
    if was_member and not state.is_member and not state.is_leaving:
        state = _renew_incarnation(state)
    members = len(view.member_by_incarnation)
    line = f"control: adopted view epoch={view.epoch} members={members}"
    return state, (ControlLog(f"{line} member={state.is_member}"),)


def _with_skipped(
    known_views: tuple[View, ...], view: View, earlier: tuple[View, ...]
) -> tuple[View, ...]:
    skipped = tuple(old for old in earlier if old.epoch > known_views[-1].epoch)
    views = (*known_views, *skipped, view)
    if not _is_gapless(views) and views[0] != UNKNOWN_EPOCHS_VIEW:
        return (UNKNOWN_EPOCHS_VIEW, *views)
    return views


def _renew_incarnation(state: ControlState) -> ControlState:
    root = state.incarnation.partition(".")[0]
    incarnation_renewals = state.incarnation_renewals + 1
    return state._replace(
        incarnation_renewals=incarnation_renewals,
        incarnation=f"{root}.{incarnation_renewals}",
    )


def settle_views(state: ControlState, now: float) -> ControlState:
    """Drop the older views once no instance can use a share of them.

    This is so after a time at which every authority of an older epoch has expired.
    It is so earlier if all members of the older views have adopted the newest one
    and there is no gap between the views; an unknown view may have other members.
    """
    if len(state.views) == 1:
        return state
    if now >= state.view_seen_at + VIEW_SETTLE_S or _have_all_adopted_view(state):
        return state._replace(views=(state.view,))
    return state


def _is_gapless(views: tuple[View, ...]) -> bool:
    return all(old.epoch + 1 == new.epoch for old, new in pairwise(views))


def _have_all_adopted_view(state: ControlState) -> bool:
    older = {name for view in state.views[:-1] for name in view.member_by_incarnation}
    return _is_gapless(state.views) and all(
        state.epoch_by_incarnation.get(name, 0) >= state.view.epoch
        for name in older - {state.incarnation}
    )
