"""A key as stored in the configuration."""

from typing import TypedDict


class KeyDocument(TypedDict):
    """Workspace of a key and whether it has been withdrawn."""

    workspace: str
    withdrawn: bool
