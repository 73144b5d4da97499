"""Promise before a change of view."""

from typing import NamedTuple


class ViewChangePromise(NamedTuple):
    """Promises that the sender no longer vouches for ``epoch``."""

    incarnation: str
    epoch: int
