"""Checks and time limits of interactive transactions."""

from jackdawspread.decisions.owner.request_check import refuse
from jackdawspread.decisions.owner.transaction import Transaction
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_request import RoutedRequest

IDLE_SECONDS = 10.0
# The longest deadline that a caller may request.
MAX_TRANSACTION_SECONDS = 60.0


def check_transaction(
    transaction: Transaction | None, request: RoutedRequest
) -> Refusal | None:
    """Return why a request may not continue a transaction, or None.

    The refusal is the same for a transaction of another workspace as for an unknown
    transaction.
    """
    if transaction is None or transaction.workspace != request.workspace:
        return refuse("unknown_transaction", "no such transaction is open")
    if transaction.is_busy:
        detail = "the previous statement of the transaction has not been answered"
        return refuse("transaction_busy", detail)
    return None


def must_roll_back(transaction: Transaction, now: float) -> bool:
    """Return whether a transaction has to be rolled back."""
    return not transaction.is_busy and (
        now >= transaction.idle_at or now >= transaction.deadline
    )


def start_statement(transaction: Transaction) -> Transaction:
    """Return the transaction with one of its statements queued or in flight."""
    return transaction._replace(is_busy=True)


def end_statement(transaction: Transaction, now: float) -> Transaction:
    """Return the transaction after the answer to its statement."""
    return transaction._replace(is_busy=False, idle_at=now + IDLE_SECONDS)
