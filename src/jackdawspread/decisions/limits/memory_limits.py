"""Limits of the memory that connections of a process may hold."""

from math import inf
from typing import NamedTuple

MIB = 1024 * 1024
# Resident memory of a process without connections, with what its allocator keeps
# unused after a load.
PROCESS_MB = 64
# The HTTP front end loads more libraries, among them grpcio.
HTTP_PROCESS_MB = 96
# A process with less memory than this beyond its own can't serve one large message.
MIN_CONNECTIONS_MB = 16
# Part of the memory from which on large messages are refused and large answers fail.
REFUSE_FRACTION = 0.5


class MemoryLimits(NamedTuple):
    """Memory of connections, in bytes, at which a process takes action.

    Parameters
    ----------
    refuse_bytes : int
        A large message that would exceed this is refused.
    close_bytes : int
        Connections are closed until all hold less than this.
    """

    refuse_bytes: int
    close_bytes: int


# For a server whose clients are those of the project itself.
UNLIMITED = MemoryLimits(1 << 62, 1 << 62)


def memory_limits(memory_bytes: float) -> MemoryLimits:
    """Return the limits of a process that may use ``memory_bytes`` in total."""
    if memory_bytes == inf:
        return UNLIMITED
    return _limits(memory_bytes / MIB - PROCESS_MB)


def http_memory_limits(memory_mb: float) -> MemoryLimits:
    """Return the limits of a process of the HTTP front end."""
    return _limits(memory_mb - HTTP_PROCESS_MB)


def _limits(connections_mb: float) -> MemoryLimits:
    close_mb = max(MIN_CONNECTIONS_MB, connections_mb)
    return MemoryLimits(int(REFUSE_FRACTION * close_mb * MIB), int(close_mb * MIB))
