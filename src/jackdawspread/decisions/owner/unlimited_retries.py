"""Retries without a budget."""

from typing import NamedTuple


class UnlimitedRetries(NamedTuple):
    """Grants every retry; the baseline that the budget is compared with."""
