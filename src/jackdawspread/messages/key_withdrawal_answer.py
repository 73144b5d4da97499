"""Answer to the withdrawal of a key."""

from typing import NamedTuple


class KeyWithdrawalAnswer(NamedTuple):
    """Confirms that the sender refuses the key."""

    incarnation: str
    withdrawal_id: str
