"""Withdrawal of a key."""

from typing import NamedTuple


class KeyWithdrawal(NamedTuple):
    """Tells a peer to refuse a key from now on, before the platform confirms."""

    key_id: str
    withdrawal_id: str
