"""Entry of an instance in the list of instances."""

from typing import NamedTuple


class InstanceEntry(NamedTuple):
    """Describes an instance as it has registered itself.

    Parameters
    ----------
    address : str
        ``IP:port`` at which the other instances reach it by datagram.
    failure_domain : str
        Failure domain in which it runs.
    """

    address: str
    failure_domain: str
