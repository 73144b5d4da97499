"""Promise before a change of view."""

from typing import NamedTuple


class ViewChangePromise(NamedTuple):
    """Promises that the sender no longer vouches for ``epoch``.

    ``withdrawn_key_ids`` are withdrawals that the platform may not hold yet.
    """

    incarnation: str
    epoch: int
    withdrawn_key_ids: tuple[str, ...] = ()
