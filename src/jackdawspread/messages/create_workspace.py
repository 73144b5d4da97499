"""Creation of a workspace."""

from typing import NamedTuple


class CreateWorkspace(NamedTuple):
    """Adds a workspace; an empty tuple of databases means all of them."""

    name: str
    databases: tuple[str, ...] = ()
