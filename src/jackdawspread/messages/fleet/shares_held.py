"""Shares of the workspaces' rates that this instance may use.

A share is the fraction of a workspace's rate limit that one instance may spend.
"""

from typing import NamedTuple


class SharesHeld(NamedTuple):
    """Reports the fractions of each workspace's rate and burst.

    Parameters
    ----------
    fraction_by_workspace : dict
        Fractions between 0 and 1 by workspace.
    held_until : float
        Boot-time clock in seconds after which no share may be used.
    """

    fraction_by_workspace: dict[str, float]
    held_until: float
