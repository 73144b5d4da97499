"""Command to receive the log of the primary again."""

from typing import NamedTuple


class ResumeReplication(NamedTuple):
    """Resumes replication at a paused replica."""
