"""Command to stop receiving the log of the primary."""

from typing import NamedTuple


class PauseReplication(NamedTuple):
    """Pauses replication at a replica until a promotion or a resume command.

    ``term`` must be greater than every term that the member has seen.
    """

    term: int
