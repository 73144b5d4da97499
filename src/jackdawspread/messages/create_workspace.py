"""Creation of a workspace."""

from typing import NamedTuple

from jackdawspread.messages.limit_document import LimitDocument


class CreateWorkspace(NamedTuple):
    """Adds a workspace; an empty tuple of databases means all of them.

    The limits are part of the creation, so that the head office's defaults don't
    apply until a second change.
    """

    name: str
    databases: tuple[str, ...] = ()
    limits: LimitDocument = LimitDocument()
