"""Members that are slow after a start, and how many statements they may get.

The rate of a cold member is divided like the rates of workspaces: each rate lease
carries an equal part of it, and a statement needs a token of a part. A lease has one
holder at a time, so lost, frozen or wrongly believed holders can't exceed the rate.
"""

from collections.abc import Iterable, Mapping
from math import isfinite

from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.member_candidate import MemberCandidate
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit

# A member that could not be reached may have restarted. It counts as cold until a list
# that was read afterwards can have arrived.
UNLISTED_START_S = 2.0
# A member that claims to be slow for longer is not believed.
MAX_COLD_S = 600.0
# Messages between instances have integers of 64 bits with a sign.
MAX_START_MS = 2**63 - 1


def check_cold_time_s(value: object) -> float:
    """Return for how many seconds a member says that it stays slow, in milliseconds.

    Raises
    ------
    ValueError
        If it is not a number, negative or too large.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("the cold time is not a number")
    if not isfinite(value) or not 0 <= value <= 1000 * MAX_COLD_S:
        raise ValueError(f"the cold time must be from 0 to {MAX_COLD_S:.0f} s")
    return value / 1000


def usable_start_ms(value: object) -> int:
    """Return the Unix time of a member's start in ms, 0 if it is not usable."""
    return value if type(value) is int and 0 <= value <= MAX_START_MS else 0


def update_cold_until(
    known: Mapping[str, float],
    before: Mapping[str, MemberListing],
    listing_by_id: Mapping[str, MemberListing],
    now: float,
) -> dict[str, float]:
    """Return the monotonic times until which members are cold.

    An entry is not written again while the remaining time passes, so the time counts
    from the first list that has it. A member that starts again may name the same time.
    """
    cold_until = {}
    for id, listing in listing_by_id.items():
        until = known.get(id, 0.0)
        is_new = id not in before or _start(listing) != _start(before[id])
        if is_new and listing.cold_remaining_s > 0:
            until = max(until, now + listing.cold_remaining_s)
        if until > now:
            cold_until[id] = until
    return cold_until


def _start(listing: MemberListing) -> tuple[float, int]:
    return listing.cold_remaining_s, listing.started_at_ms


def is_cold(
    state: GroupState, group: MemberGroup | None, member: str, now: float
) -> bool:
    """Whether the statements that a member gets are limited now."""
    if group is None or not group.cold_rate_per_s:
        return False
    return now < state.cold_until_by_member.get(member, 0.0)


def prefer_warm(
    candidates: Iterable[MemberCandidate],
    state: GroupState,
    group: MemberGroup | None,
    now: float,
) -> list[MemberCandidate]:
    """Return the candidates that are not cold, or all of them if every one is."""
    all_candidates = list(candidates)
    warm = [c for c in all_candidates if not is_cold(state, group, c.id, now)]
    return warm or all_candidates


def cold_bucket_name(group: str, member: str) -> str:
    """Return the name of a cold member's token bucket.

    It differs from every workspace, as the name of a workspace contains no space.
    """
    return f"{group} {member}"


def cold_limit(
    name: str, group_by_name: Mapping[str, MemberGroup]
) -> WorkspaceLimit | None:
    """Return the limit of a cold member's bucket, None for any other name."""
    group = group_by_name.get(name.partition(" ")[0]) if " " in name else None
    if group is None or not group.cold_rate_per_s:
        return None
    # The bursts of all leases must fit into the slack above the rate.
    return WorkspaceLimit(name, group.cold_rate_per_s, 1.0)
