"""Number of live instances."""

from typing import NamedTuple


class InstancesSeen(NamedTuple):
    """How many instances share the members' connections."""

    instances: int
