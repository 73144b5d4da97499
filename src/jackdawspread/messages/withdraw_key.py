"""Withdrawal of a key by an operator."""

from typing import NamedTuple


class WithdrawKey(NamedTuple):
    """Withdraws the key with this id."""

    key_id: str
