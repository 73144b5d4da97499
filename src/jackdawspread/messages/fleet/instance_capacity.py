"""Resources of the machine of an instance, as the other instances know them."""

from typing import NamedTuple


class InstanceCapacity(NamedTuple):
    """Resources that limit how much work an instance does for others.

    Parameters
    ----------
    cores : float
        Processor time that the process gets, in seconds of one core per second.
    memory_bytes : float
        Memory of the process in bytes.
    link_bytes_per_s : float
        Bandwidth of the machine's network link in bytes per second.
    """

    cores: float
    memory_bytes: float
    link_bytes_per_s: float
