"""Membership view of the instances."""

from typing import NamedTuple

from jackdawspread.messages.view_member import ViewMember


class View(NamedTuple):
    """Instances that are members in one epoch, by incarnation.

    Each change of the members makes a new view with the next epoch. An incarnation
    identifies an instance between its start, or its last rejoin, and its removal.
    """

    epoch: int
    member_by_incarnation: dict[str, ViewMember]
