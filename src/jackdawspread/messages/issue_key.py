"""Operator's request for a new key."""

from typing import NamedTuple


class IssueKey(NamedTuple):
    """Requests a new key for a workspace.

    The instance that answers the operator generates the key, and only its hash is
    stored.
    """

    workspace: str
