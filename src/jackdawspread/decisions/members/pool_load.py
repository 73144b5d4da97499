"""Load of a member's connections as seen by the choice of a member."""

from collections.abc import Sized
from typing import Protocol

from jackdawspread.messages.fleet.member_listing import MemberListing


class PoolLoad(Protocol):
    """What the choice of a member needs to know of its pool."""

    listing: MemberListing

    @property
    def leased_by_id(self) -> Sized:
        """Leased connections."""

    @property
    def waiting(self) -> Sized:
        """Requests that wait for a connection."""

    def has_idle(self, workspace: str) -> bool:
        """Whether an idle connection of the workspace exists."""

    def can_serve(self, workspace: str, now: float) -> bool:
        """Whether a connection can be leased or opened at once."""
