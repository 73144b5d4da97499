"""Fault of a platform stand-in."""

from typing import Any, NamedTuple


class PlatformFault(NamedTuple):
    """Body of a ``/fault`` call to a platform."""

    body: dict[str, Any]
