"""How a command reaches an instance."""

from typing import NamedTuple


class AdminEndpoint(NamedTuple):
    """Administration address (``IP:port``) and credential of the operator."""

    address: str
    credential: str
