"""Versions of the configuration that are known to exist and have not arrived."""

from math import inf
from typing import NamedTuple

# With more, the last two are kept as one.
MAX_VERSIONS = 32


class NewerVersions(NamedTuple):
    """Versions that are newer than the held one, in ascending order.

    Parameters
    ----------
    known_since_by_version : dict
        Boot-clock time in seconds at which each version was first announced.
    """

    known_since_by_version: dict[int, float] = {}

    @property
    def newest(self) -> int:
        """Newest version; 0 if none is known."""
        return max(self.known_since_by_version, default=0)

    @property
    def outdated_since(self) -> float:
        """Boot-clock time of the first announcement, in seconds; infinite if none."""
        return min(self.known_since_by_version.values(), default=inf)


def add_version(newer: NewerVersions, version: int, now: float) -> NewerVersions:
    """Return the versions with an announced one, which is newer than all of them."""
    known = newer.known_since_by_version
    if len(known) < MAX_VERSIONS:
        return NewerVersions({**known, version: now})
    since = known[newer.newest]
    others = {other: since for other, since in known.items() if other != newer.newest}
    return NewerVersions({**others, version: since})


def versions_after(
    newer: NewerVersions, held: int, missing_until: float
) -> NewerVersions:
    """Return the versions that an instance still lacks.

    Parameters
    ----------
    newer : NewerVersions
        Versions that were announced.
    held : int
        Version of the configuration in use.
    missing_until : float
        Boot-clock time in seconds until which the store had no newer version than the
        held one. What was announced before does not exist.
    """
    return NewerVersions(
        {
            version: since
            for version, since in newer.known_since_by_version.items()
            if version > held and since >= missing_until
        }
    )
