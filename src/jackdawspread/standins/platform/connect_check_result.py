"""Result of a connect check."""

from typing import NamedTuple


class ConnectCheckResult(NamedTuple):
    """Whether a registered address accepted a TCP connection."""

    address: str
    is_reachable: bool
