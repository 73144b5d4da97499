"""A workspace as stored in the configuration."""

from typing import TypedDict

from jackdawspread.messages.limit_document import LimitDocument


class WorkspaceDocument(TypedDict):
    """Overrides of a branch and the databases it may use; empty means all."""

    overrides: LimitDocument
    databases: list[str]
