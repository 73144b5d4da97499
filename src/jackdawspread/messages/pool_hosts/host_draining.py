"""Notice that a pool host is stopping."""

from typing import NamedTuple


class HostDraining(NamedTuple):
    """Ends the granting of leases; those in use stay valid until they are released.

    Parameters
    ----------
    grace_s : float
        Seconds after which the host exits.
    """

    grace_s: float
