"""Retry budget of a database; the type of the state selects the rule."""

from functools import singledispatch
from typing import Any, NamedTuple

from jackdawspread.decisions.owner.unlimited_retries import UnlimitedRetries

PERCENT_PER_RETRY = 100
INITIAL_RETRIES = 10
# Bounds the retry storm that budget saved up during a long period without
# failures could allow.
MAX_RETRIES = 100


class RetryBudget(NamedTuple):
    """Available retries, in hundredths so that fractions add up exactly."""

    available_percent: int = INITIAL_RETRIES * PERCENT_PER_RETRY


RetryPolicy = RetryBudget | UnlimitedRetries


@singledispatch
def count_request(budget: Any, retry_percent: int) -> Any:
    """Return the budget after a new request."""
    raise TypeError(f"no retry rule for {type(budget).__name__}")


@singledispatch
def spend_retry(budget: Any) -> tuple[Any, bool]:
    """Return the budget after a request to retry, and whether the retry is granted."""
    raise TypeError(f"no retry rule for {type(budget).__name__}")


@count_request.register
def _(budget: RetryBudget, retry_percent: int) -> RetryBudget:
    available = budget.available_percent + retry_percent
    return RetryBudget(min(MAX_RETRIES * PERCENT_PER_RETRY, available))


@spend_retry.register
def _(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    if budget.available_percent < PERCENT_PER_RETRY:
        return budget, False
    return RetryBudget(budget.available_percent - PERCENT_PER_RETRY), True


@count_request.register
def _(budget: UnlimitedRetries, retry_percent: int) -> UnlimitedRetries:
    return budget


@spend_retry.register
def _(budget: UnlimitedRetries) -> tuple[UnlimitedRetries, bool]:
    return budget, True
