"""Part of the status that an operator asks for."""

from typing import NamedTuple


class StatusSection(NamedTuple):
    """Names the part of the status; empty for all of it."""

    name: str
