"""Identity of one caller."""

from typing import NamedTuple


class CallerProfile(NamedTuple):
    """Name, workspace and key of a caller; the key is empty if none is needed."""

    name: str
    workspace: str
    key: str
