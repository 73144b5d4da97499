"""Withdrawal of a key, sent to peers."""

from typing import NamedTuple


class KeyWithdrawal(NamedTuple):
    """Tells a peer to refuse a key at once, before the withdrawal is stored."""

    key_id: str
    withdrawal_id: str
