"""Retry budget of a database."""

from typing import NamedTuple

INITIAL_RETRIES = 10.0
# Unused budget of a long calm period must not allow a storm later.
MAX_RETRIES = 100.0


class RetryBudget(NamedTuple):
    """Retries that may still be made: 10 plus a share of the requests."""

    available: float = INITIAL_RETRIES


def count_request(budget: RetryBudget, retry_percent: int) -> RetryBudget:
    """Return the budget after a new request."""
    return RetryBudget(min(MAX_RETRIES, budget.available + retry_percent / 100))


def take_retry(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    """Return the budget after a wish to retry, and whether it is granted."""
    if budget.available < 1:
        return budget, False
    return RetryBudget(budget.available - 1), True
