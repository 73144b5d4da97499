"""Request for a promise before a change of view."""

from typing import NamedTuple


class ViewChangeRequest(NamedTuple):
    """Asks a peer to stop vouching for ``epoch``."""

    incarnation: str
    epoch: int
