"""Free ports on loopback."""

from socket import AF_INET, SOCK_STREAM, socket

HOST = "127.0.0.1"


def free_addresses(count: int) -> list[str]:
    """Return ``IP:port`` of ports that were free a moment ago, all different."""
    sockets = [socket(AF_INET, SOCK_STREAM) for _ in range(count)]
    try:
        for item in sockets:
            item.bind((HOST, 0))
        return [f"{HOST}:{item.getsockname()[1]}" for item in sockets]
    finally:
        for item in sockets:
            item.close()
