"""Assignment of a session value."""

from typing import NamedTuple


class SetValue(NamedTuple):
    """Sets a session value, which stays set until the session ends."""

    name: str
    value: str
