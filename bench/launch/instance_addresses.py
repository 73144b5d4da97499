"""Addresses of one entry instance."""

from typing import NamedTuple


class InstanceAddresses(NamedTuple):
    """``IP:port`` on which an instance serves callers, operators and peers."""

    caller: str
    admin: str
    peer: str
