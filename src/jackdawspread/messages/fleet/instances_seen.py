"""Number of live instances."""

from typing import NamedTuple


class InstancesSeen(NamedTuple):
    """Reports how many instances share the connections that a member accepts."""

    instances: int
