"""Datagram that confirms the announcement of a promotion state."""

from typing import NamedTuple

from jackdawspread.messages.fleet.acknowledged_positions import (
    NOTHING_ACKNOWLEDGED,
    AcknowledgedPositions,
)


class PromotionAnnouncementReceived(NamedTuple):
    """Confirms that an instance follows an announced state, or a newer one.

    Parameters
    ----------
    id : int
        Id of the announcement.
    instance : str
        Id of the instance that confirms it.
    acknowledged : AcknowledgedPositions
        What the instance has acknowledged in the group.
    """

    id: int
    instance: str
    acknowledged: AcknowledgedPositions = NOTHING_ACKNOWLEDGED
