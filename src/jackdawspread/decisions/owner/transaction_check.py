"""Checks and lifetime of interactive transactions."""

from jackdawspread.decisions.owner.request_check import refuse
from jackdawspread.decisions.owner.transaction import Transaction
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_request import RoutedRequest

IDLE_SECONDS = 10.0
# The longest deadline that a caller can state.
MAX_TRANSACTION_SECONDS = 60.0


def check_transaction(
    transaction: Transaction | None, request: RoutedRequest
) -> Refusal | None:
    """Return why a request may not continue a transaction, or None.

    A transaction of another workspace gets the same answer as an unknown one.
    """
    if transaction is None or transaction.workspace != request.workspace:
        return refuse("unknown_transaction", "no such transaction is open")
    if transaction.is_busy:
        detail = "the previous statement of the transaction has not been answered"
        return refuse("transaction_busy", detail)
    return None


def is_over(transaction: Transaction, now: float) -> bool:
    """Return whether a transaction has to be rolled back."""
    return not transaction.is_busy and (
        now >= transaction.idle_at or now >= transaction.deadline
    )


def start_statement(transaction: Transaction) -> Transaction:
    """Return the transaction while one of its statements is queued or sent."""
    return transaction._replace(is_busy=True)


def end_statement(transaction: Transaction, now: float) -> Transaction:
    """Return the transaction after the answer to its statement."""
    return transaction._replace(is_busy=False, idle_at=now + IDLE_SECONDS)
