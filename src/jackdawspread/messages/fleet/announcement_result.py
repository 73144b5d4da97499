"""Result of an announcement that instances had to confirm."""

from typing import NamedTuple

from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions


class AnnouncementResult(NamedTuple):
    """Reports who follows an announced state, and what these have acknowledged.

    Parameters
    ----------
    missing : frozenset of str
        Ids of the instances that have not confirmed the announcement.
    acknowledged : AcknowledgedPositions
        Highest positions that the others have acknowledged in the group.
    """

    missing: frozenset[str]
    acknowledged: AcknowledgedPositions
