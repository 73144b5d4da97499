"""Caller's key as stored in the configuration."""

from typing import TypedDict


class KeyDocument(TypedDict):
    """Workspace of a key, and whether the key is withdrawn."""

    workspace: str
    withdrawn: bool
