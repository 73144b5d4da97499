"""Announcement of another instance, with its sender."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced


class PromotionAnnouncement(NamedTuple):
    """Delivers an announcement to the acknowledgement task.

    Parameters
    ----------
    announced : PromotionAnnounced
        The announcement.
    peer : str
        ``IP:port`` of the sender, to which the confirmation is sent; empty if this
        instance has announced it.
    reply_to : trio.MemorySendChannel or None
        Receives what this instance has acknowledged once it follows the state, if it
        has announced it itself and awaits the confirmation.
    """

    announced: PromotionAnnounced
    peer: str = ""
    reply_to: MemorySendChannel[AcknowledgedPositions] | None = None
