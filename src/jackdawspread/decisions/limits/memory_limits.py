"""Limits of the memory that connections of a process may hold."""

from math import inf
from typing import NamedTuple

MIB = 1024 * 1024
# Resident memory of a process without connections, with what its allocator keeps
# unused after a load.
PROCESS_BYTES = 64 * MIB
# The HTTP front end loads more libraries, among them grpcio.
HTTP_PROCESS_BYTES = 96 * MIB
# A process with less memory than this beyond its own can't serve one large message.
MIN_CONNECTIONS_BYTES = 16 * MIB
# Fraction of the memory for connections above which large messages are refused.
REFUSE_FRACTION = 0.5


class MemoryLimits(NamedTuple):
    """Memory of connections, in bytes, at which a process takes action.

    Parameters
    ----------
    refuse_bytes : float
        A large message that would exceed this is refused.
    close_bytes : float
        Connections are closed until all hold less than this.
    """

    refuse_bytes: float
    close_bytes: float


# For a server whose clients are those of the project itself.
UNLIMITED = MemoryLimits(inf, inf)


def memory_limits(memory_bytes: float, process_bytes: float) -> MemoryLimits:
    """Return the limits of a process.

    Parameters
    ----------
    memory_bytes : float
        Memory in bytes that the process may use in total.
    process_bytes : float
        Memory in bytes of the process without connections.
    """
    close_bytes = max(MIN_CONNECTIONS_BYTES, memory_bytes - process_bytes)
    return MemoryLimits(REFUSE_FRACTION * close_bytes, close_bytes)
