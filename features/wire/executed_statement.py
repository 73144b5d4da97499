"""Statement that a stand-in member ran."""

from typing import NamedTuple


class ExecutedStatement(NamedTuple):
    """A statement, where and for whom it ran, and the values of its connection."""

    member: str
    connection: int
    id: str
    text: str
    values: dict[str, str]
    in_transaction: bool
    workspace: str
