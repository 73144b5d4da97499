"""What a member knows about a connection."""

from typing import NamedTuple


class ConnectionRecord(NamedTuple):
    """Instance named by `/connect`, empty before it, and the silent fault."""

    instance: str = ""
    silent: bool = False
