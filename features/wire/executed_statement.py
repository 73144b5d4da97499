"""Statement that a stand-in member ran."""

from typing import NamedTuple


class ExecutedStatement(NamedTuple):
    """What ran where, with the session values of its connection."""

    member: str
    connection: int
    id: str
    text: str
    values: dict[str, str]
    inside: bool
