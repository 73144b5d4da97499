"""Response of a suspected primary."""

from typing import NamedTuple


class PrimaryResponded(NamedTuple):
    """A primary that was suspected to have failed has answered a status query."""

    group: str
    member: str
