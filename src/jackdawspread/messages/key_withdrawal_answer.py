"""Answer to the withdrawal of a key."""

from typing import NamedTuple


class KeyWithdrawalAnswer(NamedTuple):
    """Tells that the sender refuses the key.

    ``epoch`` is the epoch in which the sender confirms it, or 0 if it is no member
    or has promised a change of its view.
    """

    incarnation: str
    withdrawal_id: str
    epoch: int
