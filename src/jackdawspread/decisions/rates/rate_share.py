"""Share of a workspace's rate and burst that one instance may use."""

from typing import NamedTuple

from xxhash import xxh64_intdigest

from jackdawspread.messages.view import View


class RateShare(NamedTuple):
    """Share of one instance in the rate and burst of a workspace.

    Parameters
    ----------
    rate : float
        Rate in requests per second.
    burst : float
        Number of requests; a part of one is added to the next whole one.
    """

    rate: float
    burst: float


def rate_share(
    workspace: str,
    incarnation: str,
    views: tuple[View, ...],
    rate: float,
    burst: int,
) -> RateShare:
    """Return the smallest share over the last settled view and all later ones.

    A view is the set of instances that belong to the fleet in an epoch. It is settled
    once no instance can still act on an older view. The smallest share keeps the sum
    over all instances within the limit while instances change to the next view at
    different times.
    """
    bursts = [_burst_in_view(workspace, incarnation, view, burst) for view in views]
    share = min(bursts, default=0)
    return RateShare(rate * share / burst if burst else 0.0, share)


def _burst_in_view(workspace: str, incarnation: str, view: View, burst: int) -> int:
    members = view.member_by_incarnation
    if incarnation not in members:
        return 0
    base, remainder = divmod(burst, len(members))
    if not remainder:
        return base
    ranked = sorted(
        members, key=lambda name: xxh64_intdigest(f"{workspace}/{name}".encode())
    )
    return base + (ranked.index(incarnation) < remainder)
