"""Registers an instance or changes its state."""

from typing import NamedTuple


class RegisterInstance(NamedTuple):
    """Registers an instance or changes its state."""

    address: str
    failure_domain: str
    state: str = "live"
