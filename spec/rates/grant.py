"""Grant of one request from a peer's bucket."""

from typing import NamedTuple


class Grant(NamedTuple):
    """Stage of a ``SpendRequest`` and of its ``SpendGrant``.

    ``asked`` are the ticks in which the requester may still use the grant; ``counted``
    those in which the granter counts it against its cap, None before it granted.
    ``uses`` is how often the requester has used it.
    """

    asker: int
    asked: int
    counted: int | None
    uses: int
