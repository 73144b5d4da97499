"""Withdrawal of a key in progress."""

from typing import NamedTuple


class Withdrawal(NamedTuple):
    """Withdrawal that the configuration does not show yet.

    ``admin_ids`` are the operators' requests that wait for an answer,
    ``store_at`` the time from which this instance stores the withdrawal.
    """

    key_id: str
    confirmed: frozenset[str]
    started_at: float
    store_at: float
    admin_ids: tuple[str, ...] = ()
