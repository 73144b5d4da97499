"""Result of one attempt at a statement."""

from typing import NamedTuple

from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_reply import MemberReply


class StatementAttemptResult(NamedTuple):
    """Outcome of the exchange with the member, and of the check of a commit.

    Parameters
    ----------
    outcome : MemberReply or ExchangeFailure
        Reply of the member, or the failure of the exchange.
    confirmation : CommitConfirmation or None
        Whether a write may be acknowledged; None for reads and failed writes.
    """

    outcome: MemberReply | ExchangeFailure
    confirmation: CommitConfirmation | None = None
