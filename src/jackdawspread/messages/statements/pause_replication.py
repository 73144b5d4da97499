"""Order to stop receiving the primary's log."""

from typing import NamedTuple


class PauseReplication(NamedTuple):
    """Stops a replica from receiving until a promotion or a resume.

    ``term`` must be above every term that the member has seen.
    """

    term: int
