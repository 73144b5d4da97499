"""Registers an instance or marks its state."""

from typing import NamedTuple


class RegisterInstance(NamedTuple):
    """Registers an instance or marks its state."""

    address: str
    failure_domain: str
    state: str = "live"
