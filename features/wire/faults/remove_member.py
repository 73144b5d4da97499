"""A member drains and is gone."""

from typing import NamedTuple


class RemoveMember(NamedTuple):
    """A member drains and is gone."""

    is_primary: bool
