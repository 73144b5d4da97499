"""Assignment of a session value."""

from typing import NamedTuple


class SetValue(NamedTuple):
    """Sets a value that holds until the session ends."""

    name: str
    value: str
