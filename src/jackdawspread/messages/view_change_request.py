"""Request for a promise before a view change."""

from typing import NamedTuple


class ViewChangeRequest(NamedTuple):
    """Asks a peer to promise that it votes no more for ``epoch``."""

    incarnation: str
    epoch: int
