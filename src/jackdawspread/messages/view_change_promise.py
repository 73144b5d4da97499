"""Promise before a view change."""

from typing import NamedTuple


class ViewChangePromise(NamedTuple):
    """Promises that the sender votes no more for ``epoch``.

    ``withdrawn_key_ids`` are withdrawals that may not be stored yet.
    """

    incarnation: str
    epoch: int
    withdrawn_key_ids: tuple[str, ...] = ()
