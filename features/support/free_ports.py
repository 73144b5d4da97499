"""Free ports of a loopback address."""

from contextlib import ExitStack
from socket import socket


def free_ports(ip: str, count: int) -> tuple[int, ...]:
    """Return TCP ports that were free a moment ago, all different.

    The port after each of them was free too.
    """
    # The kernel may return a closed port again, so that all stay open until the end.
    with ExitStack() as opened:
        ports: list[int] = []
        while len(ports) < count:
            port = _open(ip, 0, opened)
            try:
                _open(ip, port + 1, opened)
            except OSError:
                continue
            ports.append(port)
        return tuple(ports)


def _open(ip: str, port: int, opened: ExitStack) -> int:
    bound = opened.enter_context(socket())
    bound.bind((ip, port))
    return bound.getsockname()[1]
