"""View of the group of instances."""

from typing import NamedTuple

from jackdawspread.messages.view_member import ViewMember


class View(NamedTuple):
    """Members of the group in one epoch, by incarnation."""

    epoch: int
    member_by_incarnation: dict[str, ViewMember]
