"""Retry budget of a database; the rule varies with the type of the state."""

from functools import singledispatch
from typing import Any, NamedTuple

from jackdawspread.decisions.owner.unlimited_retries import UnlimitedRetries

PERCENT_PER_RETRY = 100
INITIAL_RETRIES = 10
# Unused budget of a long calm period must not allow a storm later.
MAX_RETRIES = 100


class RetryBudget(NamedTuple):
    """Retries that may still be made, in hundredths so that shares add up exactly."""

    available_percent: int = INITIAL_RETRIES * PERCENT_PER_RETRY


RetryPolicy = RetryBudget | UnlimitedRetries


@singledispatch
def count_request(budget: Any, retry_percent: int) -> Any:
    """Return the budget after a new request."""
    raise TypeError(f"no retry rule for {type(budget).__name__}")


@singledispatch
def take_retry(budget: Any) -> tuple[Any, bool]:
    """Return the budget after a wish to retry, and whether it is granted."""
    raise TypeError(f"no retry rule for {type(budget).__name__}")


@count_request.register
def _(budget: RetryBudget, retry_percent: int) -> RetryBudget:
    available = budget.available_percent + retry_percent
    return RetryBudget(min(MAX_RETRIES * PERCENT_PER_RETRY, available))


@take_retry.register
def _(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    if budget.available_percent < PERCENT_PER_RETRY:
        return budget, False
    return RetryBudget(budget.available_percent - PERCENT_PER_RETRY), True


@count_request.register
def _(budget: UnlimitedRetries, retry_percent: int) -> UnlimitedRetries:
    return budget


@take_retry.register
def _(budget: UnlimitedRetries) -> tuple[UnlimitedRetries, bool]:
    return budget, True
