"""Fault of a member stand-in."""

from typing import Any, NamedTuple


class MemberFault(NamedTuple):
    """Body of a ``/fault`` call to a member."""

    name: str
    body: dict[str, Any]
