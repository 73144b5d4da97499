"""Retry budget of a database."""

from typing import NamedTuple

PERCENT_PER_RETRY = 100
INITIAL_RETRIES = 10
# Unused budget of a long calm period must not allow a storm later.
MAX_RETRIES = 100


class RetryBudget(NamedTuple):
    """Retries that may still be made, in hundredths so that shares add up exactly."""

    available_percent: int = INITIAL_RETRIES * PERCENT_PER_RETRY


def count_request(budget: RetryBudget, retry_percent: int) -> RetryBudget:
    """Return the budget after a new request."""
    available = budget.available_percent + retry_percent
    return RetryBudget(min(MAX_RETRIES * PERCENT_PER_RETRY, available))


def take_retry(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    """Return the budget after a wish to retry, and whether it is granted."""
    if budget.available_percent < PERCENT_PER_RETRY:
        return budget, False
    return RetryBudget(budget.available_percent - PERCENT_PER_RETRY), True
