"""Report of the failure domain of a group's primary."""

from typing import NamedTuple


class PrimaryMoved(NamedTuple):
    """Names the failure domain of the primary of a group; empty if none is known."""

    group: str
    failure_domain: str
