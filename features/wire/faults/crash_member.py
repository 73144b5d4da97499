"""A member ends at once, and returns with its log under another id."""

from typing import NamedTuple


class CrashMember(NamedTuple):
    """A member ends at once, and returns with its log under another id."""

    is_primary: bool
