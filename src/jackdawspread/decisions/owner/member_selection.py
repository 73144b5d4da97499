"""Result of the choice of a member for a request."""

from typing import NamedTuple

from jackdawspread.decisions.owner.member_target import MemberTarget


class MemberSelection(NamedTuple):
    """Member and, for a statement of a transaction, its pinned connection."""

    target: MemberTarget
    connection: int = 0
    member_transaction: str = ""
