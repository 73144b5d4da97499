"""An agent changes the credit limit of a buyer."""

from typing import NamedTuple


class AmendLimit(NamedTuple):
    """An agent changes the credit limit of a buyer."""

    buyer: str
    change: int
