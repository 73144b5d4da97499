"""Evacuations as known to an instance."""

from math import inf
from typing import NamedTuple


class HeldEvacuations(NamedTuple):
    """Evacuated failure domains, and the requests for them in the store.

    Parameters
    ----------
    version_by_domain : dict
        Versions of the rows with which operators requested evacuations, as last read.
    begun_at_by_domain : dict
        Evacuated failure domains; boot-clock time in seconds at which the request may
        have been accepted at the earliest.
    epoch : int
        Epoch of the store in which the rows were read; 0 before the first read.
    copy_ignored_until : float
        Boot-clock time in seconds until which rows that a restored store has from its
        copy are not used.
    """

    version_by_domain: dict[str, int] = {}
    begun_at_by_domain: dict[str, float] = {}
    epoch: int = 0
    copy_ignored_until: float = -inf

    @property
    def domains(self) -> tuple[str, ...]:
        """Evacuated failure domains in ascending order."""
        return tuple(sorted(self.begun_at_by_domain))
