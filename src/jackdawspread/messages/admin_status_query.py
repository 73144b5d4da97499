"""Operator's query for the status of the control task."""

from typing import NamedTuple


class AdminStatusQuery(NamedTuple):
    """Requests configuration, members, owners, terms and authority."""

    id: str
