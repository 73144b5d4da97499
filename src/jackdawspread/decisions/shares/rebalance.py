"""Moves shares of the workspaces' rates between instances.

An instance writes only its own shares: it lowers what it holds above its target
and raises what it lacks from what nobody holds. The sum of a workspace's shares
never exceeds 1, as each write is conditional on the record that it was made from.
"""

from collections.abc import Mapping

from jackdawspread.decisions.shares.share_book import ShareBook
from jackdawspread.decisions.shares.share_holder import ShareHolder

# Time for which shares are held without a renewal; outlasts an outage of the store.
HOLD_S = 20.0
# Demand is granted with this much room, as it varies between two renewals.
HEADROOM = 1.3


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
    book: ShareBook,
    instance: str,
    address: str,
    needed: Mapping[str, float],
    store_time_s: float,
) -> ShareBook:
    """Return the book after a renewal by one instance.

    Parameters
    ----------
    book : ShareBook
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
    live = {
        name: holder
        for name, holder in book.items()
        if holder["until"] > store_time_s or name == instance
    }
    others = {name: holder for name, holder in live.items() if name != instance}
    before = live[instance]["held"] if instance in live else {}
    held = {
        workspace: _next_share(workspace, before.get(workspace, 0.0), need, others)
        for workspace, need in needed.items()
    }
    own = ShareHolder(
        address=address, until=store_time_s + HOLD_S, held=held, needed=dict(needed)
    )
    return {**others, instance: own}


def _next_share(
    workspace: str, before: float, need: float, others: Mapping[str, ShareHolder]
) -> float:
    needs = [holder["needed"].get(workspace, 0.0) for holder in others.values()]
    target = fair_target(need, needs)
    taken = sum(holder["held"].get(workspace, 0.0) for holder in others.values())
    free = max(0.0, 1.0 - taken)
    # Rounding down keeps the sum of all shares at 1 or below.
    return int(1e6 * min(target, free)) / 1e6


def fair_target(need: float, others: list[float]) -> float:
    """Return one instance's share of 1 by max-min fairness.

    What nobody needs is split evenly, so that a burst finds something anywhere.
    """
    left, waiting = 1.0, sorted([need, *others])
    for index, wanted in enumerate(waiting):
        even = left / (len(waiting) - index)
        if wanted > even:
            return min(need, even)
        left -= wanted
    return need + left / len(waiting)
