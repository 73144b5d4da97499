"""Max-min fair shares."""

from collections.abc import Mapping


def max_min_shares(demand: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return what each of several demands gets of a capacity.

    Small demands are met in full, and the others share the rest evenly.
    """
    shares: dict[str, float] = {}
    left = capacity
    for index, name in enumerate(sorted(demand, key=lambda key: demand[key])):
        even = left / (len(demand) - index)
        shares[name] = min(demand[name], even)
        left -= shares[name]
    return shares
