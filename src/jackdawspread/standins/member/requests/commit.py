"""Commits an interactive transaction under a request id."""

from typing import NamedTuple


class Commit(NamedTuple):
    """Commits an interactive transaction under a request id."""

    transaction: str
    term: int
    workspace: str
    request_id: str
    digest: str
