"""Moves shares of the workspaces' rates between instances.

An instance changes only its own shares: it lowers a share that is above its target,
and raises one that is below from the fraction that no instance holds. The sum of a
workspace's shares never exceeds 1, because each write is conditional on the version
of the record from which it was computed.
"""

from collections.abc import Mapping

from jackdawspread.decisions.shares.share_holder import ShareHolder
from jackdawspread.decisions.shares.share_record import ShareRecord

# Shares expire this long after their last renewal; longer than most outages of the
# store.
SHARE_TTL_S = 14.0
# An instance that has not renewed for this long keeps its shares, but its need no
# longer counts.
STALE_AFTER_S = 6.0
# Factor of headroom, because the demand varies between two renewals.
HEADROOM = 1.3
# A need falls at most by this factor in a renewal, so that a restarted instance keeps
# its shares until it has measured its demand.
NEED_DECAY_FACTOR = 0.7


def needed_fractions(
    rate_by_workspace: Mapping[str, float], limit_by_workspace: Mapping[str, float]
) -> dict[str, float]:
    """Return the fraction of each limit that the demand at this instance needs."""
    return {
        workspace: round(
            min(1.0, HEADROOM * rate_by_workspace.get(workspace, 0.0) / limit), 3
        )
        for workspace, limit in limit_by_workspace.items()
        if limit > 0
    }


def rebalance(
    share_record: ShareRecord,
    instance: str,
    address: str,
    needed: Mapping[str, float],
    store_time_s: float,
) -> ShareRecord:
    """Return the record of all shares after a renewal by one instance.

    Parameters
    ----------
    share_record : ShareRecord
        Record as read from the store.
    instance : str
        Name of the instance that renews.
    address : str
        ``IP:port`` at which its peers reach the instance.
    needed : mapping
        Fractions that the instance needs, by workspace.
    store_time_s : float
        Time of the store's clock in seconds; expired shares become free.
    """
    others = _held_after(store_time_s, share_record)
    others.pop(instance, None)
    needs = _decayed_needs(needed, share_record.get(instance))
    renewing_holders = _held_after(store_time_s + SHARE_TTL_S - STALE_AFTER_S, others)
    held = {
        workspace: _next_share(workspace, need, others, renewing_holders)
        for workspace, need in needs.items()
    }
    renewed = ShareHolder(
        address=address, until=store_time_s + SHARE_TTL_S, held=held, needed=needs
    )
    return {**others, instance: renewed}


def _held_after(store_time_s: float, share_record: ShareRecord) -> ShareRecord:
    """Return the holders whose shares expire after a time of the store's clock."""
    return {
        name: holder
        for name, holder in share_record.items()
        if holder["until"] > store_time_s
    }


def _decayed_needs(
    needed: Mapping[str, float], own: ShareHolder | None
) -> dict[str, float]:
    """Return the needs, each at least its last value times the decay factor."""
    previous = own["needed"] if own is not None else {}
    return {
        workspace: max(need, NEED_DECAY_FACTOR * previous.get(workspace, 0.0))
        for workspace, need in needed.items()
    }


def _next_share(
    workspace: str,
    need: float,
    others: Mapping[str, ShareHolder],
    renewing_holders: Mapping[str, ShareHolder],
) -> float:
    allocated = sum(holder["held"].get(workspace, 0.0) for holder in others.values())
    stale = sum(
        holder["held"].get(workspace, 0.0)
        for name, holder in others.items()
        if name not in renewing_holders
    )
    needs = [
        holder["needed"].get(workspace, 0.0) for holder in renewing_holders.values()
    ]
    target = max_min_fair_share(need, needs, max(0.0, 1.0 - stale))
    free = max(0.0, 1.0 - allocated)
    # Rounding down keeps the sum of all shares at 1 or below.
    return int(1e6 * min(target, free)) / 1e6


def max_min_fair_share(need: float, others: list[float], total: float = 1.0) -> float:
    """Return the fraction of a total that one instance gets by max-min fairness.

    The fraction that no instance needs is split evenly, so that a burst finds tokens
    at every instance.
    """
    remaining, needs = total, sorted([need, *others])
    for index, smallest_need in enumerate(needs):
        equal_part = remaining / (len(needs) - index)
        if smallest_need > equal_part:
            return min(need, equal_part)
        remaining -= smallest_need
    return need + remaining / len(needs)
