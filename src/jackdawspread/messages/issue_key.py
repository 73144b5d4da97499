"""Operator's request for a new key."""

from typing import NamedTuple


class IssueKey(NamedTuple):
    """Asks for a key of a workspace; the key is made where it is shown."""

    workspace: str
