"""Answer to the withdrawal of a key."""

from typing import NamedTuple


class KeyWithdrawalAnswer(NamedTuple):
    """Confirmation that the sender refuses the key.

    ``epoch`` is the epoch for which the confirmation counts, or 0 if the sender is
    not a member or has promised a change of its view.
    """

    incarnation: str
    withdrawal_id: str
    epoch: int
