"""Withdrawal of a key that is in progress."""

from typing import NamedTuple


class Withdrawal(NamedTuple):
    """Withdrawal that is not stored yet, or whose operators have no answer yet.

    ``confirmed`` are the members that confirmed it in ``epoch``.
    ``admin_request_ids`` are the operators' requests that wait for an answer.
    ``store_at`` is the time from which this instance stores the withdrawal.
    """

    key_id: str
    started_at: float
    store_at: float
    epoch: int = 0
    confirmed: frozenset[str] = frozenset()
    admin_request_ids: tuple[str, ...] = ()
