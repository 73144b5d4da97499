"""Requests to peers for loans of rate tokens."""

from absl import logging
from trio import MemorySendChannel, WouldBlock

from jackdawspread.messages.fleet.borrow_tokens import BorrowTokens
from jackdawspread.messages.fleet.loan_event import LoanEvent

# Time to wait for a loan; a loan takes one round trip between failure domains.
LOAN_TIMEOUT_S = 0.025
# Tokens requested from each peer. Tokens beyond the burst of a small share are lost.
LOAN_TOKENS = 1
# Minimum time between two requests for tokens of the same workspace.
LOAN_BACKOFF_S = 0.1


class LoanRequester:
    """Requests rate tokens from the peers; belongs to the admission task.

    Parameters
    ----------
    loans : trio.MemorySendChannel
        Inbox of the loans task.
    """

    def __init__(self, loans: MemorySendChannel[LoanEvent]) -> None:
        self._loans = loans
        self._requested_at_by_workspace: dict[str, float] = {}

    def request_loan(self, workspace: str, now: float) -> bool:
        """Request tokens from the peers; return whether to wait for them.

        Waiting is useless if the peers have just granted nothing to an earlier request.
        """
        requested_at = self._requested_at_by_workspace.get(workspace, -LOAN_BACKOFF_S)
        if now - requested_at < LOAN_BACKOFF_S:
            return now - requested_at <= LOAN_TIMEOUT_S
        self._requested_at_by_workspace[workspace] = now
        try:
            self._loans.send_nowait(BorrowTokens(workspace, LOAN_TOKENS))
        except WouldBlock:
            logging.vlog(
                1,
                "admission: loan request dropped, the inbox of the loans task is full",
            )
        return True
