"""The process of an instance is killed and started again."""

from typing import NamedTuple


class KillInstance(NamedTuple):
    """The process of an instance is killed and started again."""
