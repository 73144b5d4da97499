"""Successful answer to an operator."""

from typing import NamedTuple


class AdminAnswer(NamedTuple):
    """Body of a successful answer to an operator."""

    body: dict[str, object]
