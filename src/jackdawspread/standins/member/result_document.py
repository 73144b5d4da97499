"""Result of a statement as it appears in answers."""

from typing import Any, TypedDict


class ResultDocument(TypedDict):
    """Columns and rows that a statement returned, and the number of changed rows."""

    columns: list[str]
    rows: list[list[Any]]
    changes: int
