"""What a member sends to an instance arrives late."""

from typing import NamedTuple


class DelayMember(NamedTuple):
    """What a member sends to an instance arrives late."""
