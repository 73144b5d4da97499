"""Resources of the machine on which an instance runs."""

from math import inf
from typing import NamedTuple


class InstanceResources(NamedTuple):
    """Limits that the platform sets for an instance.

    Parameters
    ----------
    cores : float
        Processor time that the process gets, in seconds of one core per second.
    memory_bytes : float
        Memory in bytes above which the process is killed.
    descriptors : float
        Number of file descriptors of the process.
    link_bytes_per_s : float
        Bandwidth of the machine's network link in bytes per second.
    """

    cores: float = 1.0
    memory_bytes: float = inf
    descriptors: float = inf
    link_bytes_per_s: float = inf
