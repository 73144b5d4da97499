"""Shares of the workspaces' rates that this instance may use."""

from typing import NamedTuple


class SharesHeld(NamedTuple):
    """Fractions of each workspace's rate and burst.

    Parameters
    ----------
    fraction_by_workspace : dict
        Fraction between 0 and 1 by workspace.
    held_until : float
        Time in seconds, counting suspension, after which nothing may be used.
    """

    fraction_by_workspace: dict[str, float]
    held_until: float
