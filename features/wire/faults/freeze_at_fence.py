"""An instance is stopped with SIGSTOP as a fence begins."""

from typing import NamedTuple


class FreezeAtFence(NamedTuple):
    """An instance is stopped with SIGSTOP as a fence begins."""
