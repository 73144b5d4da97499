"""Operator's request to withdraw a key."""

from typing import NamedTuple


class WithdrawKey(NamedTuple):
    """Withdraws the key with this id, the SHA-256 of its text."""

    key_id: str
