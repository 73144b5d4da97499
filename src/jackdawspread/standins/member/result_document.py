"""Result of a statement as it appears in bodies."""

from typing import Any, TypedDict


class ResultDocument(TypedDict):
    """Columns and rows that a statement returned, and the rows it changed."""

    columns: list[str]
    rows: list[list[Any]]
    changes: int
