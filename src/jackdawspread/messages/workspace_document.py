"""Workspace as stored in the configuration."""

from typing import TypedDict

from jackdawspread.messages.limit_document import LimitDocument


class WorkspaceDocument(TypedDict):
    """Limits that a workspace overrides, and the databases that it may use.

    An empty list of databases means all of them.
    """

    overrides: LimitDocument
    databases: list[str]
