"""Line that tells a launcher where a stand-in listens."""

from trio import SocketListener
from typer import echo


def print_listening(listener: SocketListener) -> None:
    """Print the address to standard output."""
    host, port = listener.socket.getsockname()[:2]
    echo(f"listening address={host}:{port}")
