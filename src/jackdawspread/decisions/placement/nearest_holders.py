"""Order in which the holders of rate leases are asked for a token."""

from collections.abc import Mapping, Sequence

# Weight of a longer delay in the known one.
LONGER_DELAY_WEIGHT = 0.05


def nearest_holders(
    holders: Sequence[str],
    delay_s_by_holder: Mapping[str, float],
    delay_limit_s: float,
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Split the holders into those that are near and the others.

    A holder is near unless its messages take longer than those of the nearest one by
    the limit. One that has not been measured yet counts as near, so that it is asked.
    The buckets of the far holders still serve: they are asked after the near ones.

    Parameters
    ----------
    holders : sequence of str
        Addresses of the holders.
    delay_s_by_holder : mapping
        Smallest recent delay of each in seconds, one way.
    delay_limit_s : float
        Delay in seconds, one way, from which messages between failure domains are
        avoided.
    """
    nearest_s = min(
        (
            delay_s_by_holder[holder]
            for holder in holders
            if holder in delay_s_by_holder
        ),
        default=0.0,
    )

    def is_near(holder: str) -> bool:
        return delay_s_by_holder.get(holder, 0.0) - nearest_s < delay_limit_s

    near = tuple(holder for holder in holders if is_near(holder))
    return near, tuple(holder for holder in holders if not is_near(holder))


def update_delay(known_s: float | None, measured_s: float) -> float:
    """Return the delay of a holder after another reply, in seconds.

    A shorter delay counts at once, as a busy machine only lengthens one. A longer one
    counts slowly, so that only a change of the network or of the address shows.
    """
    if known_s is None or measured_s <= known_s:
        return measured_s
    return known_s + LONGER_DELAY_WEIGHT * (measured_s - known_s)
