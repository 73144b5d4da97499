"""Chooses the holder of a rate lease that is asked for a token."""

from collections.abc import Collection, Mapping, Sequence


def next_holder(
    holders: Sequence[str],
    asked: Collection[str],
    silent_until_by_holder: Mapping[str, float],
    turn: int,
    now: float,
) -> str:
    """Return the address of the holder to ask next, empty if none is left.

    Parameters
    ----------
    holders : sequence of str
        Addresses of the holders.
    asked : collection of str
        Holders that were asked for this operation.
    silent_until_by_holder : mapping
        Monotonic times in seconds until which a holder that did not answer is skipped.
    turn : int
        Number of the operation. The first holder changes with it, so that all parts of
        a rate are used evenly.
    now : float
        Monotonic time in seconds.
    """
    start = turn % len(holders) if holders else 0
    for holder in (*holders[start:], *holders[:start]):
        is_silent = silent_until_by_holder.get(holder, now) > now
        if holder not in asked and not is_silent:
            return holder
    return ""
