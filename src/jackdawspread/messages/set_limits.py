"""Change of a workspace's limits."""

from typing import NamedTuple

from jackdawspread.messages.limit_document import LimitDocument


class SetLimits(NamedTuple):
    """Sets the given limits of a workspace and keeps the others."""

    workspace: str
    limits: LimitDocument
