"""Wishes for rate tokens of peers."""

from absl import logging
from trio import MemorySendChannel, WouldBlock

from jackdawspread.messages.fleet.borrow_tokens import BorrowTokens
from jackdawspread.messages.fleet.loan_event import LoanEvent

# A loan takes one round trip between failure domains.
LOAN_TIMEOUT_S = 0.025
# Tokens asked of each peer; more than the bucket of a small share holds is lost.
LOAN_TOKENS = 1
# Peers without tokens to spare are asked again after this time.
LOAN_BACKOFF_S = 0.1


class LoanRequester:
    """Asks the peers for tokens; belongs to the admission task.

    Parameters
    ----------
    loans : trio.MemorySendChannel
        Inbox of the loans task.
    """

    def __init__(self, loans: MemorySendChannel[LoanEvent]) -> None:
        self._loans = loans
        self._asked_at_by_workspace: dict[str, float] = {}

    def ask(self, workspace: str, now: float) -> bool:
        """Ask for tokens, and return whether to wait for them.

        There is nothing to wait for if the peers have just had none to spare.
        """
        asked_at = self._asked_at_by_workspace.get(workspace, -LOAN_BACKOFF_S)
        if now - asked_at < LOAN_BACKOFF_S:
            return now - asked_at <= LOAN_TIMEOUT_S
        self._asked_at_by_workspace[workspace] = now
        try:
            self._loans.send_nowait(BorrowTokens(workspace, LOAN_TOKENS))
        except WouldBlock:
            logging.vlog(1, "admission: too many wishes for loans")
        return True
