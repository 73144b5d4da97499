"""Failure of an exchange at a pool host."""

from typing import NamedTuple

from jackdawspread.messages.statements.exchange_failure import ExchangeFailure


class ExchangeFailed(NamedTuple):
    """Reports that an exchange has no complete answer."""

    exchange: int
    failure: ExchangeFailure
