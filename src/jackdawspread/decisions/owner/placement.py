"""Where a request is sent."""

from typing import NamedTuple

from jackdawspread.decisions.owner.read_target import ReadTarget


class Placement(NamedTuple):
    """Member and, for a statement of a transaction, its pinned connection."""

    target: ReadTarget
    connection: int = 0
    member_transaction: str = ""
