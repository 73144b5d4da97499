"""Owners of a database as known to an instance."""

from typing import NamedTuple


class OwnershipState(NamedTuple):
    """Owners of a database in the newest generation, and its confirmations.

    A database has up to three owners, instances ordered by rank. The first live one
    is active and promotes the primary; the others are on standby. A generation is a
    version of the list of owners. It is settled once all previous owners have
    confirmed it, so that no instance still uses an older connection limit.

    Parameters
    ----------
    owners : tuple of str
        Incarnations of the owners, by rank.
    previous : tuple of str
        Owners of the unsettled earlier generations; empty once settled.
    confirmed : frozenset of str
        Incarnations that have applied their new connection limit.
    previous_limit : int
        Least connection limit of this instance over the earlier generations.
    """

    generation: int = 0
    owners: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()
    confirmed: frozenset[str] = frozenset()
    seen_at: float = 0.0
    previous_limit: int = 0
    is_confirmed_locally: bool = False
    term: int = 0
    primary: str = ""


NO_OWNERS = OwnershipState()
