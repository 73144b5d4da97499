"""Positions that an instance reports through the store."""

from typing import NamedTuple

from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions


class ReportedPositions(NamedTuple):
    """What an instance had acknowledged in one group when it was suspended.

    Parameters
    ----------
    instance : str
        Id of the instance.
    token : int
        Fencing token of the suspended state that the instance follows.
    acknowledged : AcknowledgedPositions
        Highest positions that it acknowledged before.
    """

    instance: str
    token: int
    acknowledged: AcknowledgedPositions
