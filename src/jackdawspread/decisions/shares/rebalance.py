"""Moves shares of the workspaces' rates between instances.

An instance writes only its own shares: it lowers what it holds above its target
and raises what it lacks from what nobody holds. The sum of a workspace's shares
never exceeds 1, as each write is conditional on the record that it was made from.
"""

from collections.abc import Mapping

from jackdawspread.decisions.shares.share_holder import ShareHolder
from jackdawspread.decisions.shares.share_record import ShareRecord

# Time for which shares are held without a renewal; outlasts most outages of the store.
SHARE_TTL_S = 14.0
# An instance that has not renewed for this long keeps its shares but claims no others.
STALE_S = 6.0
# Demand is granted with this much room, as it varies between two renewals.
HEADROOM = 1.3
# Part of the last need that remains, so that a restarted instance keeps its shares
# until it has measured its demand.
NEED_DECAY_FACTOR = 0.7


def needed_fractions(
    rate_by_workspace: Mapping[str, float], limit_by_workspace: Mapping[str, float]
) -> dict[str, float]:
    """Return the part of each limit that the demand at this instance takes."""
    return {
        workspace: round(
            min(1.0, HEADROOM * rate_by_workspace.get(workspace, 0.0) / limit), 3
        )
        for workspace, limit in limit_by_workspace.items()
        if limit > 0
    }


def rebalance(
    book: ShareRecord,
    instance: str,
    address: str,
    needed: Mapping[str, float],
    store_time_s: float,
) -> ShareRecord:
    """Return the book after a renewal by one instance.

    Parameters
    ----------
    book : ShareRecord
        Book as read from the store.
    instance : str
        Name of the instance that renews.
    address : str
        Where its peers reach it.
    needed : mapping
        Fractions that it needs, by workspace.
    store_time_s : float
        The store's clock; shares whose time has passed fall back to the others.
    """
    others = _held_after(store_time_s, book)
    others.pop(instance, None)
    needs = _remember_needs(needed, book.get(instance))
    claiming = _held_after(store_time_s + SHARE_TTL_S - STALE_S, others)
    held = {
        workspace: _next_share(workspace, need, others, claiming)
        for workspace, need in needs.items()
    }
    renewed = ShareHolder(
        address=address, until=store_time_s + SHARE_TTL_S, held=held, needed=needs
    )
    return {**others, instance: renewed}


def _held_after(store_time_s: float, book: ShareRecord) -> ShareRecord:
    """Return the holders whose shares are held beyond a time of the store."""
    return {
        name: holder for name, holder in book.items() if holder["until"] > store_time_s
    }


def _remember_needs(
    needed: Mapping[str, float], own: ShareHolder | None
) -> dict[str, float]:
    """Return the needs, of which each falls by a part a renewal at most."""
    remembered = own["needed"] if own is not None else {}
    return {
        workspace: max(need, NEED_DECAY_FACTOR * remembered.get(workspace, 0.0))
        for workspace, need in needed.items()
    }


def _next_share(
    workspace: str,
    need: float,
    others: Mapping[str, ShareHolder],
    claiming: Mapping[str, ShareHolder],
) -> float:
    taken = sum(holder["held"].get(workspace, 0.0) for holder in others.values())
    stale = sum(
        holder["held"].get(workspace, 0.0)
        for name, holder in others.items()
        if name not in claiming
    )
    needs = [holder["needed"].get(workspace, 0.0) for holder in claiming.values()]
    target = max_min_fair_share(need, needs, max(0.0, 1.0 - stale))
    free = max(0.0, 1.0 - taken)
    # Rounding down keeps the sum of all shares at 1 or below.
    return int(1e6 * min(target, free)) / 1e6


def max_min_fair_share(need: float, others: list[float], total: float = 1.0) -> float:
    """Return one instance's part of a total by max-min fairness.

    What nobody needs is split evenly, so that a burst finds something anywhere.
    """
    left, waiting = total, sorted([need, *others])
    for index, wanted in enumerate(waiting):
        even = left / (len(waiting) - index)
        if wanted > even:
            return min(need, even)
        left -= wanted
    return need + left / len(waiting)
