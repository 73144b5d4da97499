"""Choice of an item by a number of the plan."""

from collections.abc import Sequence
from typing import TypeVar

Item = TypeVar("Item")


def pick(items: Sequence[Item], choice: float) -> Item:
    """Return the item at a fraction of a list."""
    return items[int(choice * len(items))]
