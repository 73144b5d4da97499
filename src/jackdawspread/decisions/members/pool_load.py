"""Interface of a connection pool for the choice of a member."""

from collections.abc import Sized
from typing import Protocol

from jackdawspread.messages.fleet.member_listing import MemberListing


class PoolLoad(Protocol):
    """Properties of a connection pool that the choice of a member uses."""

    listing: MemberListing

    @property
    def leased_by_id(self) -> Sized:
        """Leased connections."""

    @property
    def waiting(self) -> Sized:
        """Requests that are waiting for a connection."""

    def has_idle(self, workspace: str) -> bool:
        """Whether the workspace has an idle connection."""

    def can_serve(self, workspace: str, now: float) -> bool:
        """Whether a connection can be leased or opened without waiting."""
