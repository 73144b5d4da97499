"""Requests the recorded result of a request id."""

from typing import NamedTuple


class Outcome(NamedTuple):
    """Requests the recorded result of a request id."""

    term: int
    workspace: str
    request_id: str
