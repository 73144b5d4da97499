"""Which instances of a failure domain read the configuration from the store.

The others get it from them. Nobody appoints the readers: an instance reads while it
hears of too few others that do, and stops when it hears of enough that are preferred.
"""

from collections.abc import Iterable
from typing import NamedTuple

from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest

# A change is missed only if all of them are lost at the same time.
READERS = 3
DIGEST_INTERVAL_S = 0.5
# A reader that has not been heard for this long counts as lost: three digests may be
# lost or late.
DIGEST_TTL_S = 1.75
# Instances that miss a reader at the same time become readers one after the other.
RANK_DELAY_S = 0.05
# An instance that the store has not answered counts as the last one for this long.
DISTRUST_S = 5.0


class ReaderRole(NamedTuple):
    """Whether an instance reads the store.

    Parameters
    ----------
    is_reader : bool
        Whether it does.
    wanted_since : float or None
        Monotonic time in seconds since which another reader is wanted; None while
        there are enough.
    """

    is_reader: bool
    wanted_since: float | None = None


def readers_before(
    instance: str, link_bytes_per_s: float, readers: Iterable[ConfigurationDigest]
) -> int:
    """Return how many readers are preferred to an instance.

    A wide link comes first, as it brings a large configuration sooner.
    """
    own = (-link_bytes_per_s, instance)
    return sum((-other.link_bytes_per_s, other.instance) < own for other in readers)


def update_role(
    role: ReaderRole, before: int, readers: int, is_trusted: bool, rank: int, now: float
) -> ReaderRole:
    """Return the role of an instance from now on.

    Parameters
    ----------
    role : ReaderRole
        Its role so far.
    before, readers : int
        Number of other readers that are preferred to it, and of all others.
    is_trusted : bool
        Whether the store answers this instance, as far as it knows.
    rank : int
        Number of instances of the failure domain with a smaller id.
    now : float
        Monotonic time in seconds.
    """
    if (before if is_trusted else readers) >= READERS:
        return ReaderRole(False)
    if role.is_reader:
        return role
    wanted_since = now if role.wanted_since is None else role.wanted_since
    if now >= wanted_since + RANK_DELAY_S * min(rank, MAX_RANK):
        return ReaderRole(True)
    return ReaderRole(False, wanted_since)
