"""Connections of the pool hosts where each failure domain has its own."""

from jackdawspread.decisions.members.connection_limits import (
    HOSTED_FRACTION,
    OPEN_FRACTION,
    ConnectionLimits,
)

# Fraction of the hosted connections of a member for the hosts of its failure domain.
# The others use it while a member of their own domain can't serve.
SAME_DOMAIN_FRACTION = 0.8


def domain_host_limits(
    max_connections: int, near_hosts: int, far_hosts: int, is_near: bool
) -> ConnectionLimits:
    """Return the limits of a pool host for one member.

    Parameters
    ----------
    max_connections : int
        Number of connections that the member accepts.
    near_hosts, far_hosts : int
        Number of hosts of the group in the member's failure domain and in others.
    is_near : bool
        Whether the host is in the member's failure domain.
    """
    hosted = int(HOSTED_FRACTION * max_connections)
    near = int(SAME_DOMAIN_FRACTION * hosted) if far_hosts else hosted
    if not near_hosts:
        near = 0
    if is_near:
        idle = near // max(1, near_hosts)
    else:
        idle = (hosted - near) // max(1, far_hosts)
    return ConnectionLimits(max(1, idle, int(OPEN_FRACTION * max_connections)), idle)
