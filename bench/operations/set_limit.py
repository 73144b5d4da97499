"""An agent sets the credit limit of a buyer."""

from typing import NamedTuple


class SetLimit(NamedTuple):
    """An agent sets the credit limit of a buyer."""

    buyer: str
    amount: int
