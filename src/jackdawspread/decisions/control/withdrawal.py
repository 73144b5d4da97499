"""Withdrawal of a key in progress."""

from typing import NamedTuple


class Withdrawal(NamedTuple):
    """Withdrawal that the configuration does not show, or that is unanswered.

    ``confirmed`` are the members that confirmed it in ``epoch``.
    ``admin_request_ids`` are the operators' requests that wait for an answer,
    ``store_at`` the time from which this instance stores the withdrawal.
    """

    key_id: str
    started_at: float
    store_at: float
    epoch: int = 0
    confirmed: frozenset[str] = frozenset()
    admin_request_ids: tuple[str, ...] = ()
