"""Report of the address on which a stand-in listens."""

from trio import SocketListener
from typer import echo


def print_listening(listener: SocketListener) -> None:
    """Print the address to standard output, where a launcher reads it."""
    host, port = listener.socket.getsockname()[:2]
    echo(f"listening address={host}:{port}")
