"""Report of the evacuated failure domains."""

from typing import NamedTuple


class EvacuationsSeen(NamedTuple):
    """Reports which failure domains are evacuated.

    Parameters
    ----------
    work_until_by_domain : dict
        Boot-clock time in seconds until which the members of each of them may get work.
    """

    work_until_by_domain: dict[str, float]
