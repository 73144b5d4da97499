"""Datagram that confirms the announcement of a promotion state."""

from typing import NamedTuple


class PromotionAnnouncementReceived(NamedTuple):
    """Confirms that an instance follows an announced state, or a newer one.

    Parameters
    ----------
    id : int
        Id of the announcement.
    instance : str
        Id of the instance that confirms it.
    """

    id: int
    instance: str
