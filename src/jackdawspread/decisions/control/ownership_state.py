"""Seats of a database as known to an instance."""

from typing import NamedTuple


class OwnershipState(NamedTuple):
    """Seats of the newest generation and of the one before it.

    ``previous`` is empty once the generation is settled; ``confirmed`` holds the
    incarnations that keep to their new connection limit. ``earlier_limit`` is this
    instance's least connection limit over the generations before.
    """

    generation: int = 0
    seats: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()
    confirmed: frozenset[str] = frozenset()
    seen_at: float = 0.0
    earlier_limit: int = 0
    is_confirmed_locally: bool = False
    term: int = 0
    primary: str = ""


NO_OWNERS = OwnershipState()
