"""Operator's query for a section of the status."""

from typing import NamedTuple


class StatusSection(NamedTuple):
    """Name of the section; empty for the complete status."""

    name: str
