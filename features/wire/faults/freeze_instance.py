"""The process of an instance is stopped with SIGSTOP."""

from typing import NamedTuple


class FreezeInstance(NamedTuple):
    """The process of an instance is stopped with SIGSTOP."""
