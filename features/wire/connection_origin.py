"""Instance process at the other end of a connection on this machine."""

import os
from collections.abc import Mapping
from pathlib import Path

from trio import SocketStream

INODE_FIELD = 9
UNKNOWN = "unknown"


def connection_origin(stream: SocketStream, instance_by_pid: Mapping[int, str]) -> str:
    """Return the name of the instance whose process holds the other end.

    All instances connect from the same address, so the kernel's tables are read.
    """
    try:
        port = stream.socket.getpeername()[1]
    except OSError:
        return UNKNOWN
    inode = _inode(port, stream.socket.getsockname()[1])
    for pid, instance in instance_by_pid.items():
        if inode and _holds(pid, f"socket:[{inode}]"):
            return instance
    return UNKNOWN


def _inode(port: int, remote_port: int) -> str:
    local, remote = f":{port:04X}", f":{remote_port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(local) and fields[2].endswith(remote):
            return fields[INODE_FIELD]
    return ""


def _holds(pid: int, socket: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        for name in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{name}") == socket:
                    return True
            except OSError:
                continue
    except OSError:
        return False
    return False
