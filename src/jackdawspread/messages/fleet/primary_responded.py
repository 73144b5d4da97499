"""Sign of life of a suspected primary."""

from typing import NamedTuple


class PrimaryResponded(NamedTuple):
    """A primary that was in doubt has answered a question."""

    group: str
    member: str
