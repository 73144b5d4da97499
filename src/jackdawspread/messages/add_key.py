"""Addition of a key."""

from typing import NamedTuple


class AddKey(NamedTuple):
    """Adds a key by the SHA-256 of its text, in hexadecimal."""

    key_id: str
    workspace: str
